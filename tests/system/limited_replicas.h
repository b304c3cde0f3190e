#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "wagtailslip/net/http_server.h"

namespace wagtailslip::system_test {

/// Limit that a replica names in its answers from a time on.
struct LimitStep {
  /// Counted from the start of the replicas.
  Duration at{};
  /// Requests per second from all machines together; nothing if no limit is named.
  std::optional<double> per_second;
};

struct ReplicaPlan {
  std::string id;
  std::string address;
  std::vector<LimitStep> steps;
  /// Time between a request and its answer.
  Duration service_time{};

  /// The limit in force at a time after the start.
  std::optional<double> LimitAt(Duration time) const;
};

/// Replicas of a plain service on the users' platform, run on a thread of the test. They announce
/// themselves, answer every request at once, name their limits and record the arrivals.
class LimitedReplicas {
 public:
  /// @param controls addresses of control processes, asked in turn until one acknowledges
  LimitedReplicas(std::vector<ReplicaPlan> plans, std::string service,
                  std::vector<std::string> controls);
  ~LimitedReplicas();

  const std::vector<ReplicaPlan>& plans() const { return plans_; }
  /// Time since the start.
  Duration Elapsed() const;
  /// Times after the start at which a replica got requests, in order.
  std::vector<Duration> Arrivals(const std::string& id) const;

 private:
  net::Task<void> Answer(net::HttpExchange& exchange, const ReplicaPlan& plan);
  net::Task<void> Announce();

  std::vector<ReplicaPlan> plans_;
  std::string service_;
  std::vector<std::string> controls_;
  TimePoint started_;
  std::int64_t started_ms_ = 0;
  net::asio::io_context context_;
  std::vector<std::unique_ptr<net::HttpServer>> servers_;
  mutable std::mutex mutex_;
  std::map<std::string, std::vector<Duration>> arrivals_;
  std::thread thread_;
};

}  // namespace wagtailslip::system_test
