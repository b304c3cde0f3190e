#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "application.h"
#include "wagtailslip/agreement/replica.h"

namespace wagtailslip::simulation {

/// Thrown if a run violates a property of the protocol.
class CheckFailed : public Error {
 public:
  using Error::Error;
};

/// Checks the properties that must hold across all replicas of a run.
class Checker {
 public:
  /// Checks an applied entry: every replica must apply the same entry at an index.
  void CheckApplied(const agreement::Replica& replica, const agreement::Entry& entry,
                    std::uint64_t hash);
  /// Checks a restored snapshot: its state must equal the state after the same entries.
  void CheckRestored(const std::string& replica, agreement::Index index, std::uint64_t hash);
  /// Checks an answer to a client: all answers to one request are equal, and differ from the
  /// answers to other requests.
  void CheckAnswer(const Request& request, std::uint64_t result);
  /// Checks a replica that won an election: its log must contain every entry committed in earlier
  /// terms. Entries committed in later terms are not required, because a replica that was frozen
  /// may win an old term through late replies (random_run seed 13300772).
  void CheckElected(const agreement::Replica& replica);
  /// Checks that at most one replica holds a lease now.
  void CheckLeaseHolders(const std::vector<const agreement::Replica*>& holders) const;

  agreement::Index committed() const { return log_.size(); }
  /// Membership after all committed entries.
  const agreement::Membership& membership() const { return membership_; }
  std::uint64_t answers() const { return answers_; }

 private:
  struct CommittedEntry {
    agreement::Term term;
    std::uint64_t data_hash;
    std::uint64_t state_hash;
    /// Term of the first replica that applied the entry; not below the term of the commit.
    agreement::Term commit_term;
  };
  std::vector<CommittedEntry> log_;
  agreement::Membership membership_;
  std::map<agreement::Term, agreement::ReplicaId> leaders_;
  std::map<Request, std::uint64_t> results_;
  std::map<std::uint64_t, Request> requests_by_result_;
  std::uint64_t answers_ = 0;
};

}  // namespace wagtailslip::simulation
