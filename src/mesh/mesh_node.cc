#include "wagtailslip/mesh/mesh_node.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <unordered_map>

#include "gen/mesh_types.h"
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

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
constexpr Duration kCheckPeriod = std::chrono::milliseconds(50);
using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// `first`, doubled for each failure up to `longest`.
Duration Doubled(Duration first, int failures, Duration longest) {
  Duration value = first;
  for (int i = 0; i < failures && value < longest; ++i) value *= 2;
  return std::min(value, longest);
}

SharedFrame MakeFrame(const wire::MeshMessage* message) {
  std::string body = message == nullptr ? std::string() : codec::EncodeCompact(*message);
  std::string frame;
  frame.reserve(body.size() + kLengthBytes);
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
    /// Process that was dialled; empty for an accepted link.
    std::string dialled;
    bool described = false;
    Member peer;
    bool closed = false;
    bool writing = false;
    std::deque<SharedFrame> queue;
    std::size_t queued_bytes = 0;
    std::vector<SharedFrame> in_flight;
    std::string received;
    std::array<char, kReadBytes> buffer{};
    Clock::time_point heard = Clock::now();
    Clock::time_point sent = Clock::now();
  };
  using LinkPtr = std::shared_ptr<Link>;

  struct Dial {
    bool under_way = false;
    bool linked = false;
    /// Attempts that failed since the last link.
    int failures = 0;
    Clock::time_point next{};
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
  std::map<std::string, Dial> dials;
  std::set<LinkPtr> links;
  /// Described links by process; the last one carries what is sent.
  std::unordered_map<std::string, std::vector<LinkPtr>> peers;
  bool accepting = false;
  bool stopping = false;

  void Accept();
  void Check();
  void Connect(const std::string& process);
  /// Sets the time of the next attempt after a failed one or a lost link.
  void PutOff(Dial& dial) const;
  void Adopt(const LinkPtr& link);
  void Read(const LinkPtr& link);
  bool TakeFrames(const LinkPtr& link);
  bool TakeFrame(const LinkPtr& link, std::string_view body);
  void OnDescription(const LinkPtr& link, const wire::MeshMember& described);
  void Write(const LinkPtr& link);
  void Enqueue(const LinkPtr& link, SharedFrame frame);
  void Close(const LinkPtr& link);
  SharedFrame Description() const;
  /// A copy, because closing a link takes it out of `links`.
  std::vector<LinkPtr> AllLinks() const { return {links.begin(), links.end()}; }
};

SharedFrame MeshNode::State::Description() const {
  wire::MeshMessage message;
  message.__set_hello(ToWire(self));
  return MakeFrame(&message);
}

void MeshNode::State::Accept() {
  accepting = true;
  acceptor.async_accept([self = shared_from_this()](error_code ec, tcp::socket socket) {
    self->accepting = false;
    // Without descriptors accept fails at once; the periodic check tries again.
    if (self->stopping || ec) return;
    self->Adopt(std::make_shared<Link>(std::move(socket)));
    self->Accept();
  });
}

void MeshNode::State::Adopt(const LinkPtr& link) {
  error_code ec;
  link->socket.set_option(tcp::no_delay(true), ec);
  link->socket.set_option(
      UserTimeout(static_cast<int>(
          std::chrono::duration_cast<std::chrono::milliseconds>(limits.idle_timeout).count())),
      ec);
  links.insert(link);
  Enqueue(link, Description());
  Read(link);
}

void MeshNode::State::PutOff(Dial& dial) const {
  dial.next = Clock::now() +
              Doubled(limits.initial_reconnect_delay, dial.failures, limits.max_reconnect_delay);
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
  Dial& dial = dials[process];
  dial.under_way = true;
  auto link = std::make_shared<Link>(tcp::socket(context));
  link->dialled = process;
  auto deadline = std::make_shared<asio::steady_timer>(
      context, Doubled(limits.initial_connect_timeout, dial.failures, limits.max_connect_timeout));
  deadline->async_wait([link](error_code ec) {
    error_code ignored;
    if (!ec) link->socket.close(ignored);
  });
  link->socket.async_connect(address,
                             [self = shared_from_this(), link, deadline, process](error_code ec) {
                               deadline->cancel();
                               const auto it = self->dials.find(process);
                               if (it == self->dials.end() || self->stopping) return;
                               it->second.under_way = false;
                               if (ec || !link->socket.is_open()) {
                                 self->PutOff(it->second);
                                 return;
                               }
                               it->second.linked = true;
                               it->second.failures = 0;
                               self->Adopt(link);
                             });
}

void MeshNode::State::Check() {
  if (stopping) return;
  if (!accepting) Accept();
  const auto now = Clock::now();
  for (const auto& link : AllLinks()) {
    if (now - link->heard > limits.idle_timeout) {
      Close(link);
    } else if (now - link->sent > limits.keepalive_interval) {
      Enqueue(link, MakeFrame(nullptr));
    }
  }
  std::vector<std::string> due;
  for (const auto& [process, dial] : dials) {
    if (!dial.under_way && !dial.linked && now >= dial.next) due.push_back(process);
  }
  for (const auto& process : due) Connect(process);
  timer.expires_after(kCheckPeriod);
  timer.async_wait([self = shared_from_this()](error_code ec) {
    if (!ec) self->Check();
  });
}

void MeshNode::State::Read(const LinkPtr& link) {
  link->socket.async_read_some(asio::buffer(link->buffer),
                               [self = shared_from_this(), link](error_code ec, std::size_t n) {
                                 if (link->closed) return;
                                 if (ec) return self->Close(link);
                                 link->heard = Clock::now();
                                 link->received.append(link->buffer.data(), n);
                                 if (!self->TakeFrames(link)) return self->Close(link);
                                 if (!link->closed) self->Read(link);
                               });
}

bool MeshNode::State::TakeFrames(const LinkPtr& link) {
  std::size_t at = 0;
  while (link->received.size() - at >= kLengthBytes) {
    std::uint32_t n = 0;
    for (std::size_t i = 0; i < kLengthBytes; ++i) {
      n = n << 8 | static_cast<std::uint8_t>(link->received[at + i]);
    }
    if (n > limits.frame_bytes) return false;
    if (link->received.size() - at - kLengthBytes < n) break;
    const std::string body = link->received.substr(at + kLengthBytes, n);
    at += kLengthBytes + n;
    if (n > 0 && !TakeFrame(link, body)) return false;
    if (link->closed) return true;
  }
  link->received.erase(0, at);
  return true;
}

bool MeshNode::State::TakeFrame(const LinkPtr& link, std::string_view body) {
  try {
    const auto message = codec::DecodeCompact<wire::MeshMessage>(body);
    if (message.__isset.hello) OnDescription(link, message.hello);
    if (!link->described) return false;
    listener.OnMessage(link->peer, message);
    return true;
  } catch (const codec::CodecError&) {
    // A peer of another release; the link is closed and made again.
    return false;
  } catch (const MeshError&) {
    return false;
  }
}

void MeshNode::State::OnDescription(const LinkPtr& link, const wire::MeshMember& described) {
  Member member = FromWire(described);
  const bool first = !link->described;
  link->described = true;
  link->peer = std::move(member);
  if (first) peers[link->peer.process].push_back(link);
  listener.OnMemberUpdated(link->peer);
}

void MeshNode::State::Enqueue(const LinkPtr& link, SharedFrame frame) {
  if (link->closed) return;
  if (link->queued_bytes + frame->size() > limits.queue_bytes) return Close(link);
  link->queued_bytes += frame->size();
  link->queue.push_back(std::move(frame));
  link->sent = Clock::now();
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
  if (!link->dialled.empty()) {
    const auto it = dials.find(link->dialled);
    if (it != dials.end()) {
      it->second.linked = false;
      PutOff(it->second);
    }
  }
  if (!link->described) return;
  const auto it = peers.find(link->peer.process);
  if (it == peers.end()) return;
  std::erase(it->second, link);
  if (!it->second.empty()) return;
  peers.erase(it);
  if (!stopping) listener.OnMemberLost(link->peer);
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

void MeshNode::Start() { state_->Check(); }

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
  const auto frame = state_->Description();
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
