#pragma once

#include <cstdint>
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
/// target when it was sent. It may be processed much later, so each new target is asked for once:
/// the age in the answer counts from the question, and no target is taken to be named too late.
class TargetSync {
 public:
  /// @param bound time after its naming from which on the exact time of a target has no effect
  explicit TargetSync(Duration bound) : bound_(bound) {}

  const serving::WeightsTargets& targets() const { return targets_; }

  /// Adds the targets of a message, if it has any.
  /// @param now when the message is processed
  /// @return those that are newer than all known ones
  std::vector<LearnedTarget> Receive(const wire::MeshMessage& message, TimePoint now,
                                     UtcTime utc_now);
  /// The question to send to a control process now; nothing if none is due.
  std::optional<wire::MeshMessage> NextQuery(TimePoint now);
  /// Sends the next question, if one is due, to the linked control processes in turn.
  void AskIfDue(MeshNode& mesh, TimePoint now);

 private:
  Duration bound_;
  serving::WeightsTargets targets_;
  /// Models and versions that no answer has named yet.
  std::set<std::pair<std::string, std::int64_t>> unconfirmed_;
  TimePoint next_query_at_{};
  std::size_t queries_sent_ = 0;
};

}  // namespace wagtailslip::mesh
