#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "application.h"
#include "wagtailslip/agreement/replica.h"

namespace wagtailslip::simulation {

/// A property of the protocol that a run showed to be violated.
class CheckFailed : public Error {
 public:
  using Error::Error;
};

/// What all replicas of a run together must satisfy.
class Checker {
 public:
  /// A replica applied an entry; every replica must apply the same entry at an index.
  void Applied(const agreement::Replica& replica, const agreement::Entry& entry,
               std::uint64_t hash);
  /// A replica installed a snapshot; its state must equal the state after the same entries.
  void Restored(const std::string& replica, agreement::Index index, std::uint64_t hash);
  /// A client was told a result; every answer to one request is the same.
  void Answered(const Request& request, std::uint64_t result);
  /// A replica won an election; its log must contain every entry committed in earlier terms. A
  /// replica that was frozen may win an old term from late replies (seed 13300772).
  void Elected(const agreement::Replica& replica);
  /// Counts the replicas that hold a lease now.
  void LeaseHolders(const std::vector<const agreement::Replica*>& holders) const;

  agreement::Index committed() const { return log_.size(); }
  /// Membership after all committed entries.
  const agreement::Membership& membership() const { return membership_; }
  std::uint64_t answers() const { return answers_; }

 private:
  struct Row {
    agreement::Term term;
    std::uint64_t data_hash;
    std::uint64_t state_hash;
    /// Term of the first replica that applied the entry; not below the term of the commit.
    agreement::Term committed_in;
  };
  std::vector<Row> log_;
  agreement::Membership membership_;
  std::map<agreement::Term, agreement::ReplicaId> leaders_;
  std::map<Request, std::uint64_t> results_;
  std::map<std::uint64_t, Request> requests_by_result_;
  std::uint64_t answers_ = 0;
};

}  // namespace wagtailslip::simulation
