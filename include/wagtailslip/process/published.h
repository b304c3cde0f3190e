#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/config/record.h"
#include "wagtailslip/directory/address_book.h"
#include "wagtailslip/traffic/routing_snapshot.h"

namespace wagtailslip::process {

/// The priority rules at one revision.
class RuleBook {
 public:
  explicit RuleBook(std::map<std::string, config::Rule> rules) : rules_(std::move(rules)) {}
  /// Most specific rule; a rule with default values if none matches.
  const config::Rule& Find(const std::string& account, const std::string& kind) const;
  const std::map<std::string, config::Rule>& rules() const { return rules_; }

 private:
  std::map<std::string, config::Rule> rules_;
  config::Rule fallback_;
};

/// What the control thread gives to the traffic threads. Immutable; replaced whole.
struct Published {
  std::shared_ptr<const traffic::RoutingSnapshot> routing;
  std::shared_ptr<const RuleBook> rules;
  std::vector<directory::EntryProcess> processes;
  config::Revision applied = 0;
  config::Revision in_force = 0;
  /// Number of changes of the entry processes applied so far.
  std::uint64_t process_changes = 0;
  /// Incarnation under which this process is registered.
  std::uint64_t incarnation = 0;
  /// The process is registered and has applied what the leader named at its lease's start.
  bool caught_up = false;
  /// End of the configuration lease.
  TimePoint lease_until{};
};

/// The newest Published, handed between threads.
class PublishedCell {
 public:
  void Store(std::shared_ptr<const Published> value) { value_.store(std::move(value)); }
  std::shared_ptr<const Published> Load() const { return value_.load(); }

 private:
  std::atomic<std::shared_ptr<const Published>> value_{std::make_shared<const Published>()};
};

/// Whether a process may serve more than lookups.
inline bool HoldsLease(const Published& published, TimePoint now) {
  return published.caught_up && now < published.lease_until;
}

}  // namespace wagtailslip::process
