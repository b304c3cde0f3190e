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
  std::uint32_t frame_bytes = 16 * 1024 * 1024;
  /// Bytes that may wait on one link; a link that falls further behind is closed.
  std::size_t queue_bytes = 32UL * 1024 * 1024;
  /// The first attempt to reach a process gets a few round trips: a machine without power does not
  /// answer, and one that starts answers the next attempt. Each failure doubles the time, for links
  /// on which packets queue.
  Duration initial_connect_timeout = std::chrono::milliseconds(100);
  Duration max_connect_timeout = std::chrono::milliseconds(800);
  /// Pause after a failed attempt, which grows in the same way.
  Duration initial_reconnect_delay = std::chrono::milliseconds(50);
  Duration max_reconnect_delay = std::chrono::milliseconds(300);
  /// An empty frame is sent on a link that was quiet for this long.
  Duration keepalive_interval = std::chrono::milliseconds(400);
  /// A link without a frame for this long is closed: it may have gone silent without a reset.
  Duration idle_timeout = std::chrono::milliseconds(1500);
};

/// Links to other processes over TCP. A link carries frames in both directions, each a 4-byte
/// big-endian length and a message in Thrift's compact protocol; it begins with both sides'
/// description of themselves. All members run on the context's thread.
class MeshNode {
 public:
  /// @param listener called on the context's thread until Stop
  /// @throws MeshError if the address cannot be bound
  MeshNode(net::asio::io_context& context, const net::tcp::endpoint& listen, Member self,
           MeshLimits limits, MeshListener& listener);
  ~MeshNode();

  void Start();
  void Stop();
  /// Processes to which this one keeps a link of its own.
  void SetOutboundPeers(std::set<std::string> processes);
  /// Changes the description of this process and tells all linked processes.
  void UpdateSelf(Member self);
  const Member& self() const;

  /// Queues a message; dropped if there is no link.
  /// @return whether there is a link
  bool Send(const std::string& process, const wire::MeshMessage& message);
  /// Encodes once and sends to several processes.
  void SendTo(const std::vector<std::string>& processes, const wire::MeshMessage& message);

  bool Linked(const std::string& process) const;
  /// Linked processes of one kind.
  std::vector<Member> Members(MemberKind kind) const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace wagtailslip::mesh
