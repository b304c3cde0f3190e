#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "wagtailslip/agreement/types.h"
#include "wagtailslip/base/time.h"

namespace wagtailslip::agreement {

/// How the leader replicates to a member.
enum class SendState : std::uint8_t {
  kProbe,      ///< One request at a time until the matching index is known.
  kReplicate,  ///< Requests are pipelined.
  kSnapshot,   ///< A snapshot is sent: the log no longer has the entries that the member needs.
};

/// Replication state of a member, kept by the leader.
struct Progress {
  SendState state = SendState::kProbe;
  bool voter = false;
  /// Its acknowledgements advance the commit index: a voter, or the standby of a pending
  /// replacement.
  bool counts_for_commit = false;
  bool probe_sent = false;
  /// Highest index that the member has synced.
  Index match = 0;
  Index next = 1;
  /// Commit index in the last message to the member.
  Index commit_sent = 0;
  TimePoint sent_at = TimePoint::min();
  /// Send time of the newest request to which the member replied.
  TimePoint last_contact = TimePoint::min();
  /// Send time of the newest request whose reply left the member synced up to `commit_sent`.
  TimePoint caught_up_at = TimePoint::min();
  /// Snapshot being sent, and the offset of the part in flight.
  std::shared_ptr<const Snapshot> snapshot;
  std::uint64_t snapshot_offset = 0;
  TimePoint part_sent_at = TimePoint::min();
};

}  // namespace wagtailslip::agreement
