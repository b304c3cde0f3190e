#include "wagtailslip/net/peer_transport.h"

#include <array>
#include <atomic>
#include <boost/beast/core/tcp_stream.hpp>
#include <deque>
#include <map>
#include <set>

#include "wagtailslip/net/address.h"

namespace wagtailslip::net {
namespace {

constexpr std::size_t kLengthBytes = 4;

std::array<std::uint8_t, kLengthBytes> EncodeLength(std::size_t n) {
  return {static_cast<std::uint8_t>(n >> 24), static_cast<std::uint8_t>(n >> 16),
          static_cast<std::uint8_t>(n >> 8), static_cast<std::uint8_t>(n)};
}

std::uint32_t DecodeLength(const std::array<std::uint8_t, kLengthBytes>& b) {
  return static_cast<std::uint32_t>(b[0]) << 24 | static_cast<std::uint32_t>(b[1]) << 16 |
         static_cast<std::uint32_t>(b[2]) << 8 | b[3];
}

}  // namespace

struct PeerTransport::State : std::enable_shared_from_this<PeerTransport::State> {
  struct Outbound {
    explicit Outbound(asio::io_context& context) : stream(context), wake(context) {}
    boost::beast::tcp_stream stream;
    asio::steady_timer wake;
    std::deque<std::string> queue;
    std::size_t queued_bytes = 0;
    bool connected = false;
  };

  State(asio::io_context& context, PeerLimits limits, Receive receive)
      : context(context), acceptor(context), limits(limits), receive(std::move(receive)) {}

  asio::io_context& context;
  tcp::acceptor acceptor;
  PeerLimits limits;
  Receive receive;
  std::map<tcp::endpoint, std::shared_ptr<Outbound>> outbound;
  std::set<std::shared_ptr<tcp::socket>> inbound;
  bool stopping = false;
  std::atomic<std::uint64_t> frames_sent{0};
  std::atomic<std::uint64_t> frames_received{0};
  std::atomic<std::uint64_t> bytes_sent{0};
  std::atomic<std::uint64_t> bytes_received{0};
  std::atomic<std::uint64_t> frames_dropped{0};

  Task<void> Accept();
  Task<void> ReadFrames(std::shared_ptr<tcp::socket> socket);
  Task<void> WriteFrames(tcp::endpoint to, std::shared_ptr<Outbound> peer);
  Task<bool> WriteQueue(Outbound& peer);
  void Enqueue(const tcp::endpoint& to, std::string frame);
  void DropQueue(Outbound& peer);
};

Task<void> PeerTransport::State::Accept() {
  const auto self = shared_from_this();
  while (!stopping) {
    error_code ec;
    tcp::socket socket =
        co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
    if (stopping) break;
    if (ec || inbound.size() >= limits.inbound_connections) {
      asio::steady_timer timer(context, std::chrono::milliseconds(10));
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
      continue;
    }
    socket.set_option(tcp::no_delay(true), ec);
    socket.set_option(asio::socket_base::keep_alive(true), ec);
    auto shared = std::make_shared<tcp::socket>(std::move(socket));
    inbound.insert(shared);
    asio::co_spawn(context, ReadFrames(shared), asio::detached);
  }
}

Task<void> PeerTransport::State::ReadFrames(std::shared_ptr<tcp::socket> socket) {
  const auto self = shared_from_this();
  error_code ec;
  while (!stopping) {
    std::array<std::uint8_t, kLengthBytes> length{};
    co_await asio::async_read(*socket, asio::buffer(length),
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) break;
    const std::uint32_t n = DecodeLength(length);
    if (n > limits.frame_bytes) {
      ++frames_dropped;
      break;
    }
    std::string frame(n, '\0');
    co_await asio::async_read(*socket, asio::buffer(frame),
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec || stopping) break;
    ++frames_received;
    bytes_received += n + kLengthBytes;
    receive(std::move(frame));
  }
  socket->close(ec);
  inbound.erase(socket);
}

void PeerTransport::State::DropQueue(Outbound& peer) {
  frames_dropped += peer.queue.size();
  peer.queue.clear();
  peer.queued_bytes = 0;
}

Task<bool> PeerTransport::State::WriteQueue(Outbound& peer) {
  while (!peer.queue.empty()) {
    const std::string frame = std::move(peer.queue.front());
    peer.queue.pop_front();
    peer.queued_bytes -= frame.size();
    const auto length = EncodeLength(frame.size());
    const std::array<asio::const_buffer, 2> parts{asio::buffer(length), asio::buffer(frame)};
    // A peer that stops reading fails the write here instead of holding the queue for ever.
    peer.stream.expires_after(limits.write_timeout);
    error_code ec;
    co_await asio::async_write(peer.stream, parts, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      ++frames_dropped;
      co_return false;
    }
    ++frames_sent;
    bytes_sent += frame.size() + kLengthBytes;
  }
  peer.stream.expires_never();
  co_return true;
}

Task<void> PeerTransport::State::WriteFrames(tcp::endpoint to, std::shared_ptr<Outbound> peer) {
  const auto self = shared_from_this();
  error_code ec;
  while (!stopping) {
    if (!peer->connected) {
      peer->stream.expires_after(limits.connect_timeout);
      co_await peer->stream.async_connect(to, asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        // Frames for an unreachable peer are dropped: the protocols above send newer ones.
        DropQueue(*peer);
        peer->stream.close();
        peer->wake.expires_after(limits.reconnect_delay);
        co_await peer->wake.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        if (peer->queue.empty()) break;
        continue;
      }
      peer->stream.socket().set_option(tcp::no_delay(true), ec);
      peer->connected = true;
    }
    if (!co_await WriteQueue(*peer)) {
      peer->connected = false;
      peer->stream.close();
      continue;
    }
    if (stopping) break;
    peer->wake.expires_at(asio::steady_timer::time_point::max());
    co_await peer->wake.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
  const auto it = outbound.find(to);
  if (it != outbound.end() && it->second == peer) outbound.erase(it);
}

void PeerTransport::State::Enqueue(const tcp::endpoint& to, std::string frame) {
  if (stopping) return;
  auto& peer = outbound[to];
  const bool created = peer == nullptr;
  if (created) peer = std::make_shared<Outbound>(context);
  if (frame.size() > limits.frame_bytes ||
      peer->queued_bytes + frame.size() > limits.queue_bytes_per_peer) {
    ++frames_dropped;
    return;
  }
  peer->queued_bytes += frame.size();
  peer->queue.push_back(std::move(frame));
  if (created) {
    asio::co_spawn(context, WriteFrames(to, peer), asio::detached);
  } else if (peer->connected) {
    peer->wake.cancel();
  }
}

PeerTransport::PeerTransport(asio::io_context& context, const tcp::endpoint& listen,
                             PeerLimits limits, Receive receive)
    : state_(std::make_shared<State>(context, limits, std::move(receive))) {
  error_code ec;
  auto& acceptor = state_->acceptor;
  acceptor.open(listen.protocol(), ec);
  if (!ec) acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) acceptor.bind(listen, ec);
  if (!ec) acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) throw NetError("cannot listen on " + FormatAddress(listen) + ": " + ec.message());
}

PeerTransport::~PeerTransport() = default;

void PeerTransport::Start() { asio::co_spawn(state_->context, state_->Accept(), asio::detached); }

void PeerTransport::Stop() {
  state_->stopping = true;
  error_code ec;
  state_->acceptor.close(ec);
  for (const auto& it : state_->inbound) it->close(ec);
  for (const auto& [address, peer] : state_->outbound) {
    peer->wake.cancel();
    peer->stream.cancel();
  }
}

void PeerTransport::Send(const tcp::endpoint& to, std::string frame) {
  asio::post(state_->context, [state = state_, to, frame = std::move(frame)]() mutable {
    state->Enqueue(to, std::move(frame));
  });
}

tcp::endpoint PeerTransport::address() const {
  error_code ec;
  return state_->acceptor.local_endpoint(ec);
}

PeerCounters PeerTransport::counters() const {
  return {state_->frames_sent, state_->frames_received, state_->bytes_sent, state_->bytes_received,
          state_->frames_dropped};
}

}  // namespace wagtailslip::net
