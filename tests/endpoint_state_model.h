#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "wagtailslip/serving/instance_table.h"
#include "wagtailslip/serving/relay_plan.h"
#include "wagtailslip/serving/state_requester.h"

namespace wagtailslip::serving {

/// Size of a run and what happens in it.
struct EndpointStateSettings {
  const char* name = "";
  int controls = 3;
  int ingresses = 4;
  int endpoints = 6;
  /// Faults of processes and links: freezes, cuts and restarts.
  bool process_faults = false;
  /// Calls to leave and announcements are held up on their way.
  bool late_calls = false;
  Duration length = std::chrono::seconds(60);
  /// Foreign writers announce services that are not named, under ids and addresses of endpoints,
  /// and processes learn of the configuration some time after their start.
  bool foreign_writers = false;
};

/// What a run found.
struct EndpointStateFindings {
  /// Longest time after the confirmation of an end for which a process in touch still had the
  /// endpoint in use.
  Duration longest_use_after_end{};
  /// Longest time for which an endpoint announced itself, with confirmations, and a process in
  /// touch did not have it in use.
  Duration longest_absence{};
  /// Differences between the processes, and from the truth, after the last fault.
  std::vector<std::string> disagreements;
  /// Time from each confirmation of an end until the last process in touch knew it.
  std::vector<Duration> propagation;
  /// Full states that ingress processes have asked for.
  std::uint64_t state_requests = 0;
};

/// Control and ingress processes that learn of endpoints from announcements and from each other, in
/// virtual time and without network. Processes freeze, are cut off and restart; links that are
/// silent for long are closed, and a new link begins with the sender's full state.
class EndpointStateModel {
 public:
  EndpointStateModel(const EndpointStateSettings& settings, std::uint64_t seed);
  EndpointStateFindings Run();

 private:
  struct Process {
    bool control = false;
    std::string name;
    InstanceTable table;
    /// Of control processes.
    RecentEnds recent_ends;
    /// Of ingress processes.
    StateRequester requester{""};
    std::size_t aging_requests = 0;
    TimePoint frozen_at{};
    TimePoint frozen_until{};
    TimePoint cut_until{};
    /// From when on the process has links again.
    TimePoint linked_from{};
    /// End of the last fault.
    TimePoint disturbed_until{};
    /// Messages that arrived while the process stood still.
    std::deque<std::function<void()>> held;
    /// Number of the start; messages to an earlier one are lost.
    int start = 0;
  };
  struct Endpoint {
    std::string id;
    std::int64_t started_ms = 0;
    std::int64_t sequence = 0;
    int incarnation = 0;
    /// Announces itself; otherwise it has called to leave, or has not started.
    bool announcing = false;
    /// First confirmed announcement; unset before it.
    TimePoint confirmed_since{};
  };
  /// Confirmed end of an incarnation.
  struct End {
    std::string id;
    std::int64_t started_ms = 0;
    TimePoint confirmed_at{};
    /// Last check at which a process in touch had the endpoint in use.
    TimePoint last_used_at{};
  };
  struct Scheduled {
    TimePoint at;
    std::uint64_t number;
    std::function<void()> action;
    bool operator<(const Scheduled& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };

  void At(TimePoint at, std::function<void()> action);
  Duration Between(Duration low, Duration high);
  bool Chance(double share);
  bool InTouch(const Process& process) const;
  bool Reachable(const Process& process) const;
  /// Delivers a message over the link between two processes.
  void Send(std::size_t from, std::size_t to, std::vector<EndpointRecord> records);
  void SendMessage(std::size_t from, std::size_t to,
                   std::function<void(TimePoint sent_at)> message);
  void Deliver(std::size_t from, std::size_t to, const std::vector<EndpointRecord>& records,
               TimePoint sent_at);
  void SendFullState(std::size_t from, std::size_t to);
  void SendSummary(std::size_t from, std::size_t to);
  void OnSummary(std::size_t from, std::size_t to, const EndpointSummary& summary);
  /// Sends a request for the full state, or for the records of some endpoints.
  void Ask(std::size_t from, std::size_t to, std::set<std::string> ids);
  void AskIfNeeded(std::size_t process);
  /// Control processes that a control process has a link to.
  std::set<std::string> LinkedControls(std::size_t process) const;
  /// The control processes that have lost their links to another one relay ends once more.
  void RepeatEnds(std::size_t lost);
  void Restart(std::size_t process);
  std::size_t ingresses() const { return static_cast<std::size_t>(settings_.ingresses); }
  std::size_t controls() const { return static_cast<std::size_t>(settings_.controls); }
  void Relink(std::size_t process);
  void Announce(std::size_t endpoint, int incarnation);
  void OnAnnouncement(std::size_t control, EndpointRecord record);
  void OnLeave(std::size_t control, const std::string& id);
  void StartEndpoint(std::size_t endpoint);
  /// Ends an endpoint, which starts again later.
  /// @param held_up its call to leave arrives after it has started again
  void Stop(std::size_t endpoint, bool held_up);
  void CallToLeave(const std::string& id, std::int64_t started_ms, int attempts);
  static bool InUse(const Process& process, const std::string& id, std::int64_t started_ms);
  void Fault();
  void AnnounceForeign();
  /// A process that has started learns of the configuration later.
  void ConfigureLater(std::size_t process);
  void Check();
  std::size_t AnyControl();
  std::int64_t UtcMs() const;

  EndpointStateSettings settings_;
  std::mt19937_64 random_;
  TimePoint now_{std::chrono::seconds(1000)};
  TimePoint core_disturbed_until_{};
  std::uint64_t number_ = 0;
  std::priority_queue<Scheduled> scheduled_;
  std::vector<Process> processes_;
  std::vector<Endpoint> endpoints_;
  std::vector<End> ends_;
  /// Since when a process in touch lacks an endpoint that is in use.
  std::map<std::pair<std::size_t, std::string>, TimePoint> absent_since_;
  EndpointStateFindings findings_;
};

}  // namespace wagtailslip::serving
