#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/mesh/mesh_listener.h"
#include "wagtailslip/net/asio.h"

namespace wagtailslip::wire {
class MeshMessage;
}  // namespace wagtailslip::wire

namespace wagtailslip::mesh {

struct MeshLimits {
  /// Largest accepted frame, without the length prefix.
  std::uint32_t frame_bytes = 16 * 1024 * 1024;
  /// Bytes that may be queued on one link; a link whose queue would exceed this is closed.
  std::size_t queue_bytes = 32UL * 1024 * 1024;
  /// Timeout of the first connection attempt, a few round trips: a machine that is down does not
  /// respond, and one that is starting responds to the next attempt. Each failure doubles the
  /// timeout, up to `max_connect_timeout`, to allow for links with queueing delay.
  Duration initial_connect_timeout = std::chrono::milliseconds(100);
  Duration max_connect_timeout = std::chrono::milliseconds(800);
  /// Delay after a failed attempt or a lost link, doubled in the same way.
  Duration initial_reconnect_delay = std::chrono::milliseconds(50);
  Duration max_reconnect_delay = std::chrono::milliseconds(300);
  /// An empty frame is sent on a link on which nothing was sent for this long.
  Duration keepalive_interval = std::chrono::milliseconds(400);
  /// A link that receives nothing for this long is closed: the peer may be gone without a reset.
  Duration idle_timeout = std::chrono::milliseconds(1500);
};

/// TCP links to other processes. A link carries frames in both directions, each a 4-byte big-endian
/// length followed by a message in Thrift's compact protocol. Each side first sends a description
/// of itself. All member functions must be called on the context's thread.
class MeshNode {
 public:
  /// @param listener called on the context's thread until Stop
  /// @throws MeshError if the address cannot be bound
  MeshNode(net::asio::io_context& context, const net::tcp::endpoint& listen, Member self,
           MeshLimits limits, MeshListener& listener);
  ~MeshNode();

  void Start();
  void Stop();
  /// Sets the processes that this one connects to and reconnects to after a link is lost. Existing
  /// links are not closed.
  void SetOutboundPeers(std::set<std::string> processes);
  /// Replaces the description of this process and sends it on all links if it has changed.
  void UpdateSelf(Member self);
  const Member& self() const;

  /// Queues a message for a process; drops it if there is no link.
  /// @return whether there is a link
  bool Send(const std::string& process, const wire::MeshMessage& message);
  /// Encodes a message once and queues it for several processes.
  void SendTo(const std::vector<std::string>& processes, const wire::MeshMessage& message);

  bool Linked(const std::string& process) const;
  /// Linked processes of one kind.
  std::vector<Member> Members(MemberKind kind) const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace wagtailslip::mesh
