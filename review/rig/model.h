// Stand-ins of model replicas, a plain replica and clients that follow the pages, for the cases.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "rig.h"

namespace rig {

/// Manifest with the streaming service "m" on routes of host m.example and the plain service "p".
std::string Manifest(int version, int engine_slots, int timeout_ms, int latency_ms, int pause_ms);

/// What a stand-in of a replica does.
struct ReplicaSettings {
  std::string id;
  std::string address;
  /// Model replica of service "m"; otherwise a replica of service "p".
  bool model = true;
  int slots = 16;
  int events = 20;
  /// Seconds between two events, or of the work on a plain request.
  double step = 0.1;
  /// Seconds to the first event.
  double first = 0.04;
  /// After three events of a stream, sends events without end until the caller closes.
  bool endless = false;
  /// Announces itself from the start.
  bool announce = true;
};

/// A sound replica: serves requests addressed to it, one at a time on a channel, drops a request
/// when its channel closes, and continues a stream after Last-Event-Id.
class Replica {
 public:
  Replica(Deployment& deployment, ReplicaSettings settings);
  ~Replica();
  void Crash();
  void Announce();
  void StopAnnouncing();
  /// Says in all answers from now on that the replica leaves.
  void SetLeaving() { leaving_ = true; }
  bool announced() const { return announcer_ && announcer_->acknowledged(); }
  /// Requests that have begun to run.
  int served() const { return served_; }
  int running() const { return running_; }
  std::vector<std::shared_ptr<Channel>> Channels() { return server_->Channels(); }

 private:
  void Serve(Channel& channel);

  Deployment& deployment_;
  ReplicaSettings settings_;
  std::int64_t born_;
  std::atomic<bool> leaving_{false};
  std::atomic<int> running_{0};
  std::atomic<int> served_{0};
  std::unique_ptr<Server> server_;
  std::unique_ptr<Announcer> announcer_;
};

/// Outcome of a request at a client.
struct Outcome {
  int status = 0;
  /// The answer is a success with a receipt, and whole.
  bool served = false;
  int events = 0;
  std::size_t bytes = 0;
  /// The client left at the end of its time budget.
  bool left = false;
  /// Time from sending to the end of the answer, or to the client's leaving.
  double seconds = 0;
  double retry_after = 0;
};

/// A kept channel of a client.
class Client {
 public:
  explicit Client(std::string address) : address_(std::move(address)) {}
  /// Sends a request and reads its answer.
  /// @param longest_gap the client leaves after so many seconds without a byte
  /// @param upload bytes of the body of a plain request; 0 for a request without one
  Outcome Send(const std::string& attempt_id, bool stream, int budget_ms, double longest_gap,
               std::size_t upload = 0);
  /// The channel that is open, for a disturbance.
  std::shared_ptr<Channel> channel();

 private:
  std::string address_;
  std::mutex mutex_;
  std::shared_ptr<Channel> channel_;
  std::string rest_;
};

}  // namespace rig
