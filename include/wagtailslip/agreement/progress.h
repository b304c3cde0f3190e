#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "wagtailslip/agreement/types.h"
#include "wagtailslip/base/time.h"

namespace wagtailslip::agreement {

/// How the leader sends to a member.
enum class SendState : std::uint8_t {
  kProbe,      ///< One request at a time until the positions match.
  kReplicate,  ///< Requests follow each other without waiting.
  kSnapshot,   ///< The member needs entries that the log no longer has.
};

/// What the leader knows about a member.
struct Progress {
  SendState state = SendState::kProbe;
  bool voter = false;
  /// Its acknowledgements count for the commit: a voter, or the standby of a pending replacement.
  bool counts_for_commit = false;
  bool probe_sent = false;
  /// Highest index that the member has synced.
  Index match = 0;
  Index next = 1;
  /// Commit index in the last message to the member.
  Index commit_sent = 0;
  TimePoint sent_at = TimePoint::min();
  /// Send time of the newest request that the member answered.
  TimePoint last_contact = TimePoint::min();
  /// Send time of a request after whose answer the member had synced all that it was told of.
  TimePoint caught_up_at = TimePoint::min();
  /// Snapshot that is being sent, and the offset of the part in flight.
  std::shared_ptr<const Snapshot> snapshot;
  std::uint64_t snapshot_offset = 0;
  TimePoint part_sent_at = TimePoint::min();
};

}  // namespace wagtailslip::agreement
