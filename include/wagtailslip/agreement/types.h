#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "wagtailslip/agreement/membership.h"
#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/error.h"

namespace wagtailslip::agreement {

/// Error of the replicated log: a state or a call that the protocol does not allow.
class AgreementError : public Error {
 public:
  using Error::Error;
};

/// Index of an entry in the replicated log; the first entry has index 1.
using Index = std::uint64_t;

/// Election term.
using Term = std::uint64_t;

/// Kind of a log entry.
enum class EntryKind : std::uint8_t { kNoOp, kCommand, kMembership };
inline constexpr EnumTable<EntryKind, 3> kEntryKinds{{{{EntryKind::kNoOp, "no-op"},
                                                       {EntryKind::kCommand, "command"},
                                                       {EntryKind::kMembership, "membership"}}}};

/// One entry of the log. A membership entry's data is an encoded MembershipChange.
struct Entry {
  Index index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::kNoOp;
  std::string data;

  bool operator==(const Entry&) const = default;
};

/// Consecutive entries, shared between the messages to several receivers. Null means none.
using Entries = std::shared_ptr<const std::vector<Entry>>;

/// State that must be on disk before a message that depends on it is sent.
struct HardState {
  Term term = 0;
  /// Candidate that got this replica's vote in `term`.
  std::optional<ReplicaId> vote;
  /// Entries up to this index were synced here and known to be committed. Saved when a voter change
  /// commits, because a restarted replica must not fall back to the earlier voters: they may no
  /// longer exist.
  Index commit = 0;

  bool operator==(const HardState&) const = default;
};

/// Application state and membership after the entry at `index`.
struct Snapshot {
  Index index = 0;
  Term term = 0;
  Membership membership;
  std::string data;

  bool operator==(const Snapshot&) const = default;
};

/// State that a replica recovers from its disk when it starts.
struct PersistentState {
  HardState hard_state;
  std::shared_ptr<const Snapshot> snapshot;
  /// Entries that follow the snapshot; entries that the snapshot covers are ignored.
  std::vector<Entry> entries;
};

/// Initial state of the voters of a new log. All of them start with the same entries.
/// @throws AgreementError if `voters` is empty
PersistentState BootstrapState(const std::vector<ReplicaId>& voters);

}  // namespace wagtailslip::agreement
