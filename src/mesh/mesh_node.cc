#include "wagtailslip/mesh/mesh_node.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <unordered_map>

#include "gen/mesh_types.h"
#include "wagtailslip/base/backoff.h"
#include "wagtailslip/codec/compact.h"
#include "wagtailslip/mesh/codec.h"
#include "wagtailslip/net/address.h"
#include "wagtailslip/net/error.h"

namespace wagtailslip::mesh {
namespace {

namespace asio = net::asio;
using net::error_code;
using net::tcp;
using SharedFrame = std::shared_ptr<const std::string>;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kLengthPrefixBytes = 4;
constexpr std::size_t kReadBufferBytes = std::size_t{16} * 1024;
constexpr Duration kCheckPeriod = std::chrono::milliseconds(50);
using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

SharedFrame MakeFrame(const wire::MeshMessage* message) {
  std::string body = message == nullptr ? std::string() : codec::EncodeCompact(*message);
  std::string frame;
  frame.reserve(body.size() + kLengthPrefixBytes);
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame.push_back(static_cast<char>(body.size() >> shift & 0xff));
  }
  frame += body;
  return std::make_shared<const std::string>(std::move(frame));
}

}  // namespace

struct MeshNode::State : std::enable_shared_from_this<MeshNode::State> {
  struct Link : std::enable_shared_from_this<Link> {
    explicit Link(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    /// Process that this link connected to; empty for an accepted link.
    std::string dialed_process;
    bool hello_received = false;
    Member peer;
    bool closed = false;
    bool writing = false;
    std::deque<SharedFrame> queue;
    std::size_t queued_bytes = 0;
    std::vector<SharedFrame> in_flight;
    std::string received;
    std::array<char, kReadBufferBytes> buffer{};
    Clock::time_point last_received = Clock::now();
    Clock::time_point last_sent = Clock::now();
  };
  using LinkPtr = std::shared_ptr<Link>;

  struct DialState {
    bool connecting = false;
    bool linked = false;
    /// Failed attempts and lost links since the last successful connection.
    int failures = 0;
    Clock::time_point next_attempt{};
  };

  State(asio::io_context& context, Member self, MeshLimits limits, MeshListener& listener)
      : context(context),
        acceptor(context),
        timer(context),
        self(std::move(self)),
        limits(limits),
        listener(listener) {}

  asio::io_context& context;
  tcp::acceptor acceptor;
  asio::steady_timer timer;
  Member self;
  MeshLimits limits;
  MeshListener& listener;
  std::map<std::string, DialState> dials;
  std::set<LinkPtr> links;
  /// Links that have received a hello, by process. Messages are sent on the last one.
  std::unordered_map<std::string, std::vector<LinkPtr>> peers;
  bool accept_pending = false;
  bool stopping = false;

  void Accept();
  void CheckLinks();
  void Connect(const std::string& process);
  /// Schedules the next attempt after a failed one or a lost link.
  void ScheduleRetry(DialState& dial) const;
  void StartLink(const LinkPtr& link);
  void Read(const LinkPtr& link);
  bool ProcessFrames(const LinkPtr& link);
  bool ProcessFrame(const LinkPtr& link, std::string_view body);
  void OnHello(const LinkPtr& link, const wire::MeshMember& hello);
  void Write(const LinkPtr& link);
  void Enqueue(const LinkPtr& link, SharedFrame frame);
  void Close(const LinkPtr& link);
  SharedFrame HelloFrame() const;
  /// Returns a copy, because closing a link removes it from `links`.
  std::vector<LinkPtr> AllLinks() const { return {links.begin(), links.end()}; }
};

SharedFrame MeshNode::State::HelloFrame() const {
  wire::MeshMessage message;
  message.__set_hello(ToWire(self));
  return MakeFrame(&message);
}

void MeshNode::State::Accept() {
  accept_pending = true;
  acceptor.async_accept([self = shared_from_this()](error_code ec, tcp::socket socket) {
    self->accept_pending = false;
    // Accept fails at once if no file descriptors are left; CheckLinks tries again.
    if (self->stopping || ec) return;
    self->StartLink(std::make_shared<Link>(std::move(socket)));
    self->Accept();
  });
}

void MeshNode::State::StartLink(const LinkPtr& link) {
  error_code ec;
  link->socket.set_option(tcp::no_delay(true), ec);
  link->socket.set_option(
      UserTimeout(static_cast<int>(
          std::chrono::duration_cast<std::chrono::milliseconds>(limits.idle_timeout).count())),
      ec);
  links.insert(link);
  Enqueue(link, HelloFrame());
  Read(link);
}

void MeshNode::State::ScheduleRetry(DialState& dial) const {
  dial.next_attempt = Clock::now() + ExponentialBackoff(limits.initial_reconnect_delay,
                                                        dial.failures, limits.max_reconnect_delay);
  ++dial.failures;
}

void MeshNode::State::Connect(const std::string& process) {
  tcp::endpoint address;
  try {
    address = net::ParseAddress(process);
  } catch (const net::NetError&) {
    dials.erase(process);
    return;
  }
  DialState& dial = dials[process];
  dial.connecting = true;
  auto link = std::make_shared<Link>(tcp::socket(context));
  link->dialed_process = process;
  auto deadline = std::make_shared<asio::steady_timer>(
      context, ExponentialBackoff(limits.initial_connect_timeout, dial.failures,
                                  limits.max_connect_timeout));
  deadline->async_wait([link](error_code ec) {
    error_code ignored;
    if (!ec) link->socket.close(ignored);
  });
  link->socket.async_connect(address,
                             [self = shared_from_this(), link, deadline, process](error_code ec) {
                               deadline->cancel();
                               const auto it = self->dials.find(process);
                               if (it == self->dials.end() || self->stopping) return;
                               it->second.connecting = false;
                               if (ec || !link->socket.is_open()) {
                                 self->ScheduleRetry(it->second);
                                 return;
                               }
                               it->second.linked = true;
                               it->second.failures = 0;
                               self->StartLink(link);
                             });
}

void MeshNode::State::CheckLinks() {
  if (stopping) return;
  if (!accept_pending) Accept();
  const auto now = Clock::now();
  for (const auto& link : AllLinks()) {
    if (now - link->last_received > limits.idle_timeout) {
      Close(link);
    } else if (now - link->last_sent > limits.keepalive_interval) {
      Enqueue(link, MakeFrame(nullptr));
    }
  }
  std::vector<std::string> due;
  for (const auto& [process, dial] : dials) {
    if (!dial.connecting && !dial.linked && now >= dial.next_attempt) due.push_back(process);
  }
  for (const auto& process : due) Connect(process);
  timer.expires_after(kCheckPeriod);
  timer.async_wait([self = shared_from_this()](error_code ec) {
    if (!ec) self->CheckLinks();
  });
}

void MeshNode::State::Read(const LinkPtr& link) {
  link->socket.async_read_some(asio::buffer(link->buffer),
                               [self = shared_from_this(), link](error_code ec, std::size_t n) {
                                 if (link->closed) return;
                                 if (ec) return self->Close(link);
                                 link->last_received = Clock::now();
                                 link->received.append(link->buffer.data(), n);
                                 if (!self->ProcessFrames(link)) return self->Close(link);
                                 if (!link->closed) self->Read(link);
                               });
}

bool MeshNode::State::ProcessFrames(const LinkPtr& link) {
  std::size_t offset = 0;
  while (link->received.size() - offset >= kLengthPrefixBytes) {
    std::uint32_t n = 0;
    for (std::size_t i = 0; i < kLengthPrefixBytes; ++i) {
      n = n << 8 | static_cast<std::uint8_t>(link->received[offset + i]);
    }
    if (n > limits.frame_bytes) return false;
    if (link->received.size() - offset - kLengthPrefixBytes < n) break;
    const std::string body = link->received.substr(offset + kLengthPrefixBytes, n);
    offset += kLengthPrefixBytes + n;
    if (n > 0 && !ProcessFrame(link, body)) return false;
    if (link->closed) return true;
  }
  link->received.erase(0, offset);
  return true;
}

bool MeshNode::State::ProcessFrame(const LinkPtr& link, std::string_view body) {
  try {
    const auto message = codec::DecodeCompact<wire::MeshMessage>(body);
    if (message.__isset.hello) OnHello(link, message.hello);
    if (!link->hello_received) return false;
    listener.OnMessage(link->peer, message);
    return true;
  } catch (const codec::CodecError&) {
    // The peer may run an incompatible release. The link is closed and reestablished.
    return false;
  } catch (const MeshError&) {
    return false;
  }
}

void MeshNode::State::OnHello(const LinkPtr& link, const wire::MeshMember& hello) {
  Member member = FromWire(hello);
  const bool first_hello = !link->hello_received;
  link->hello_received = true;
  link->peer = std::move(member);
  if (first_hello) peers[link->peer.process].push_back(link);
  listener.OnMemberUpdated(link->peer, first_hello);
}

void MeshNode::State::Enqueue(const LinkPtr& link, SharedFrame frame) {
  if (link->closed) return;
  if (link->queued_bytes + frame->size() > limits.queue_bytes) return Close(link);
  link->queued_bytes += frame->size();
  link->queue.push_back(std::move(frame));
  link->last_sent = Clock::now();
  if (!link->writing) Write(link);
}

void MeshNode::State::Write(const LinkPtr& link) {
  if (link->closed || link->queue.empty()) return;
  link->writing = true;
  std::vector<asio::const_buffer> buffers;
  link->in_flight.assign(link->queue.begin(), link->queue.end());
  link->queue.clear();
  for (const auto& it : link->in_flight) buffers.push_back(asio::buffer(*it));
  asio::async_write(link->socket, buffers,
                    [self = shared_from_this(), link](error_code ec, std::size_t n) {
                      link->writing = false;
                      if (link->closed) return;
                      if (ec) return self->Close(link);
                      link->queued_bytes -= std::min(link->queued_bytes, n);
                      link->in_flight.clear();
                      self->Write(link);
                    });
}

void MeshNode::State::Close(const LinkPtr& link) {
  if (link->closed) return;
  link->closed = true;
  error_code ec;
  link->socket.close(ec);
  links.erase(link);
  if (!link->dialed_process.empty()) {
    const auto it = dials.find(link->dialed_process);
    if (it != dials.end()) {
      it->second.linked = false;
      ScheduleRetry(it->second);
    }
  }
  if (!link->hello_received) return;
  const auto it = peers.find(link->peer.process);
  if (it == peers.end()) return;
  const bool was_in_use = it->second.back() == link;
  std::erase(it->second, link);
  if (it->second.empty()) {
    peers.erase(it);
    if (!stopping) listener.OnMemberLost(link->peer);
  } else if (was_in_use && !stopping) {
    // What was queued on the closed link is lost.
    listener.OnMemberUpdated(it->second.back()->peer, true);
  }
}

MeshNode::MeshNode(net::asio::io_context& context, const net::tcp::endpoint& listen, Member self,
                   MeshLimits limits, MeshListener& listener)
    : state_(std::make_shared<State>(context, std::move(self), limits, listener)) {
  error_code ec;
  auto& acceptor = state_->acceptor;
  acceptor.open(listen.protocol(), ec);
  if (!ec) acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) acceptor.bind(listen, ec);
  if (!ec) acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) throw MeshError("cannot listen on " + net::FormatAddress(listen) + ": " + ec.message());
}

MeshNode::~MeshNode() { Stop(); }

void MeshNode::Start() { state_->CheckLinks(); }

void MeshNode::Stop() {
  if (state_->stopping) return;
  state_->stopping = true;
  error_code ec;
  state_->acceptor.close(ec);
  state_->timer.cancel();
  for (const auto& link : state_->AllLinks()) {
    state_->Close(link);
  }
}

void MeshNode::SetOutboundPeers(std::set<std::string> processes) {
  processes.erase(state_->self.process);
  auto& dials = state_->dials;
  for (const auto& it : processes) dials.try_emplace(it);
  for (auto it = dials.begin(); it != dials.end();) {
    it = processes.contains(it->first) ? std::next(it) : dials.erase(it);
  }
}

void MeshNode::UpdateSelf(Member self) {
  if (state_->self == self) return;
  state_->self = std::move(self);
  const auto frame = state_->HelloFrame();
  for (const auto& link : state_->AllLinks()) {
    state_->Enqueue(link, frame);
  }
}

const Member& MeshNode::self() const { return state_->self; }

bool MeshNode::Send(const std::string& process, const wire::MeshMessage& message) {
  const auto it = state_->peers.find(process);
  if (it == state_->peers.end()) return false;
  state_->Enqueue(it->second.back(), MakeFrame(&message));
  return true;
}

void MeshNode::SendTo(const std::vector<std::string>& processes, const wire::MeshMessage& message) {
  SharedFrame frame;
  for (const auto& process : processes) {
    const auto it = state_->peers.find(process);
    if (it == state_->peers.end()) continue;
    if (!frame) frame = MakeFrame(&message);
    state_->Enqueue(it->second.back(), frame);
  }
}

bool MeshNode::Linked(const std::string& process) const { return state_->peers.contains(process); }

std::vector<Member> MeshNode::Members(MemberKind kind) const {
  std::vector<Member> members;
  for (const auto& [process, links] : state_->peers) {
    if (links.back()->peer.kind == kind) members.push_back(links.back()->peer);
  }
  return members;
}

}  // namespace wagtailslip::mesh
