#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/mesh/mesh_node.h"
#include "wagtailslip/serving/weights_targets.h"

namespace wagtailslip::wire {
class MeshMessage;
}

namespace wagtailslip::mesh {

/// A target version that was not known before.
struct LearnedTarget {
  std::string model;
  std::int64_t version = 0;
  /// Time since it was named, as the message states it.
  Duration age{};
  /// How much later than by the wall clocks of the two processes it was taken to be named; zero if
  /// the message does not state the wall-clock time.
  Duration delay{};
};

/// Target versions of the weights as control processes report them. A message states the age of a
/// target when it was sent. It may be processed much later, so each new target is asked for: the
/// age in the answer counts from the question, and the target is not taken to be named later than
/// the control process says. Assumes that control processes know the time of naming.
class TargetSync {
 public:
  /// @param bound time after its naming from which on the exact time of a target has no effect
  explicit TargetSync(Duration bound) : bound_(bound) {}

  const serving::WeightsTargets& targets() const { return targets_; }

  /// Adds the targets of a message, if it has any.
  /// @param from control process that has sent the message
  /// @param now when the message is processed
  /// @return those that are newer than all known ones
  std::vector<LearnedTarget> Receive(const std::string& from, const wire::MeshMessage& message,
                                     TimePoint now, UtcTime utc_now);
  /// The question to send to a control process now; nothing if none is due.
  std::optional<wire::MeshMessage> NextQuery(TimePoint now);
  /// Sends the next question, if one is due, to the linked control processes in turn.
  void AskIfDue(MeshNode& mesh, TimePoint now);

 private:
  using TargetId = std::pair<std::string, std::int64_t>;
  /// What is known of the time at which a target was named.
  struct NamingTime {
    /// Earliest time by a message that was no answer: not earlier than the naming.
    TimePoint latest = TimePoint::max();
    /// By control process, the latest time by its answers: not later than the naming.
    std::map<std::string, TimePoint> earliest;
    /// Control processes that have answered without delay.
    std::set<std::string> confirmed_by;
  };

  /// The time that the target is taken to be named at.
  static TimePoint Believed(const NamingTime& time);
  /// Whether the time of a target is still asked for.
  bool Uncertain(const NamingTime& time, TimePoint now) const;

  Duration bound_;
  serving::WeightsTargets targets_;
  std::map<TargetId, NamingTime> times_;
  /// When the last questions were sent.
  std::set<TimePoint> asked_at_;
  TimePoint next_query_at_{};
  std::size_t queries_sent_ = 0;
  /// Linked control processes when the last question was sent.
  std::size_t linked_ = 1;
};

}  // namespace wagtailslip::mesh
