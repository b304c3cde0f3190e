#pragma once

#include <map>
#include <optional>
#include <string>

#include "wagtailslip/base/time.h"
#include "wagtailslip/serving/instance_table.h"

namespace wagtailslip::serving {

/// Decides which control process an ingress process asks for its full state. Control processes send
/// digests of what they know; one that differs is a reason to ask, one control process at a time.
class StateRequester {
 public:
  explicit StateRequester(std::string self) : self_(std::move(self)) {}

  /// A new link begins: the first digest on it counts at once, later ones only if they repeat.
  void OnLinkUp(const std::string& source);
  void OnLinkLost(const std::string& source);
  /// @param theirs what the control process knows
  /// @param own what this process knows
  void OnDigest(const std::string& source, const StateDigest& theirs, const StateDigest& own);
  /// The full state has arrived.
  void OnState(const std::string& source, TimePoint now);
  /// The control process to ask now, if any.
  std::optional<std::string> Next(const StateDigest& own, TimePoint now);

  bool any_pending() const;
  /// Number of full states asked for.
  std::uint64_t requests() const { return requests_; }

 private:
  struct Source {
    /// The last digest, and what this process knew then.
    StateDigest theirs;
    StateDigest own;
    bool differs = false;
    bool pending = false;
    /// What was known when the source was asked. Asking again is of no use before it changes.
    std::optional<std::pair<StateDigest, StateDigest>> asked;
    TimePoint asked_at{};
  };

  std::string self_;
  std::map<std::string, Source> sources_;
  /// The process that was asked and has not replied.
  std::string awaited_;
  TimePoint asked_at_{};
  TimePoint next_at_{};
  std::uint64_t requests_ = 0;
};

}  // namespace wagtailslip::serving
