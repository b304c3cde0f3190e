#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "wagtailslip/base/time.h"
#include "wagtailslip/net/asio.h"
#include "wagtailslip/net/error.h"

namespace wagtailslip::net {

/// Bounds of the transport between processes.
struct PeerLimits {
  std::uint32_t frame_bytes = 16 * 1024 * 1024;
  std::size_t queue_bytes_per_peer = std::size_t{32} * 1024 * 1024;
  std::size_t inbound_connections = 4096;
  Duration connect_timeout = std::chrono::seconds(1);
  Duration write_timeout = std::chrono::seconds(3);
  Duration reconnect_delay = std::chrono::milliseconds(100);
};

/// Counters of the transport, for the state dump.
struct PeerCounters {
  std::uint64_t frames_sent = 0;
  std::uint64_t frames_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t frames_dropped = 0;
};

/// Sends and receives frames between processes over TCP: a 4-byte big-endian length and the bytes.
///
/// Delivery is best effort and in order per connection; the protocols above repeat what is lost.
/// All members but Send run on the context's thread.
class PeerTransport {
 public:
  /// Called for each frame on the context's thread.
  using Receive = std::function<void(std::string frame)>;

  /// @throws NetError if the address cannot be bound
  PeerTransport(asio::io_context& context, const tcp::endpoint& listen, PeerLimits limits,
                Receive receive);
  ~PeerTransport();

  void Start();
  void Stop();
  /// Queues a frame. Safe from any thread. A frame to an unreachable peer or over the queue bound
  /// is dropped and counted.
  void Send(const tcp::endpoint& to, std::string frame);
  tcp::endpoint address() const;
  /// Safe from any thread.
  PeerCounters counters() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace wagtailslip::net
