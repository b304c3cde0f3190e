#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "wagtailslip/net/http_server.h"

namespace wagtailslip::system_test {

/// Bytes that a replica writes after a pause.
struct ScriptStep {
  std::string bytes;
  Duration pause{};
};

/// What a replica does with its connection after the last step.
enum class Ending { kKeep, kClose, kReset, kRepeatLastStep };

/// How a replica answers one request.
struct Script {
  std::vector<ScriptStep> steps;
  Ending ending = Ending::kKeep;
  /// Bytes without end after the last step, in numbered pieces, until the receiver closes.
  std::function<std::string(std::uint64_t number)> endless;
  /// Pause before each of these pieces.
  Duration endless_pause{};
  /// The replica began to work on the request.
  bool runs = true;
  /// Status that the replica gave this request; 0 if it gave none.
  unsigned status = 0;
};

/// A request that reached a replica.
struct Arrival {
  std::string endpoint;
  std::string attempt_id;
  /// Id of the last event that the replica must not repeat; 0 at the start of a stream.
  int last_event_id = 0;
  std::string signature;
  bool runs = false;
  unsigned status = 0;
};

struct ReplicaIdentity {
  std::string id;
  std::string address;
  std::string service;
};

/// Replicas on the users' platform, run on a thread of the test, that write the bytes of a script
/// as the answer and record the requests.
class HostileReplicas {
 public:
  /// Chooses the answer to a request.
  /// @param earlier number of earlier arrivals with the same attempt id
  using ScriptSource = std::function<Script(const Arrival& arrival, std::size_t earlier)>;

  /// Announces each replica once.
  /// @param control address of a control process
  HostileReplicas(std::vector<ReplicaIdentity> replicas, std::string control, ScriptSource source);
  ~HostileReplicas();

  /// Requests with an attempt id, in order of arrival.
  std::vector<Arrival> Arrivals(const std::string& attempt_id) const;
  /// Whether all replicas were announced.
  bool announced() const;

 private:
  net::Task<void> Accept(std::shared_ptr<net::tcp::acceptor> acceptor,
                         const ReplicaIdentity& replica);
  net::Task<void> Serve(net::tcp::socket socket, const ReplicaIdentity& replica);
  net::Task<void> Announce();
  Script Record(const net::HttpRequest& request, const ReplicaIdentity& replica);

  std::vector<ReplicaIdentity> replicas_;
  std::string control_;
  ScriptSource source_;
  net::asio::io_context context_;
  mutable std::mutex mutex_;
  std::map<std::string, std::vector<Arrival>> arrivals_;
  bool announced_ = false;
  std::thread thread_;
};

}  // namespace wagtailslip::system_test
