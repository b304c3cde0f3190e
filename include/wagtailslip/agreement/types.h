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

/// Error of the agreement module: a state or a call that the protocol does not allow.
class AgreementError : public Error {
 public:
  using Error::Error;
};

/// Position in the replicated log; the first entry has 1.
using Index = std::uint64_t;

/// Election term.
using Term = std::uint64_t;

/// What an entry carries.
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
  /// Entries up to here were on this disk and known to be committed. Saved when a change of the
  /// voters is committed, because a restarted replica must not fall back to the voters before it:
  /// they may be gone.
  Index commit = 0;

  bool operator==(const HardState&) const = default;
};

/// State of the application after an entry, with the membership at that entry.
struct Snapshot {
  Index index = 0;
  Term term = 0;
  Membership membership;
  std::string data;

  bool operator==(const Snapshot&) const = default;
};

/// What a replica reads back from its disk when it starts.
struct PersistentState {
  HardState hard_state;
  std::shared_ptr<const Snapshot> snapshot;
  /// Entries that follow the snapshot; entries that the snapshot covers are ignored.
  std::vector<Entry> entries;
};

/// State of the initial voters of a new log: all of them start from the same first entries.
/// @throws AgreementError if `voters` is empty
PersistentState BootstrapState(const std::vector<ReplicaId>& voters);

}  // namespace wagtailslip::agreement
