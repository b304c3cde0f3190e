#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "cluster.h"

namespace wagtailslip::system_test {

/// A rule command that was accepted, as the operator sent it and as it was answered.
struct AcceptedCommand {
  std::string account;
  std::string body;
  std::string request_id;
  double weight = 0;
  std::uint64_t revision = 0;
};

/// Operators that set rules and resend each command under its request id until it is accepted. Each
/// writes accounts of its own, and each command names the revision of the command before it.
class CommandWriter {
 public:
  CommandWriter(const Cluster& cluster, int writers, std::uint64_t seed);
  ~CommandWriter();

  void Start();
  /// Ends the writers after their present command.
  void Finish();
  std::size_t accepted() const { return count_; }
  std::size_t resends() const { return resends_; }

  /// Accepted commands in the order of each account.
  std::map<std::string, std::vector<AcceptedCommand>> Commands() const;
  /// Answers that neither accept a command nor allow a resend.
  std::vector<std::string> Faults() const;

  /// Sends a command to one process.
  static Reply SendCommand(const Cluster& cluster, const std::string& entry,
                           const std::string& body, Duration timeout = 3s);
  /// Fails unless the rules of a process are exactly the last accepted commands.
  void CheckRules(const std::string& entry) const;
  /// Resends commands and fails unless each gets its first answer.
  void CheckSameAnswers(const std::string& entry) const;

 private:
  void Write(int writer);

  const Cluster& cluster_;
  int writers_;
  std::uint64_t seed_;
  std::atomic<bool> finish_{false};
  std::atomic<std::size_t> count_{0};
  std::atomic<std::size_t> resends_{0};
  mutable std::mutex mutex_;
  std::map<std::string, std::vector<AcceptedCommand>> commands_;
  std::vector<std::string> faults_;
  std::vector<std::thread> threads_;
};

}  // namespace wagtailslip::system_test
