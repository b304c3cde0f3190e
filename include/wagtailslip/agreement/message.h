#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "wagtailslip/agreement/types.h"
#include "wagtailslip/base/time.h"

namespace wagtailslip::agreement {

/// Requests a vote. A pre-vote carries the term that the sender would start and changes no state.
struct VoteRequest {
  bool pre_vote = false;
  Index last_index = 0;
  Term last_term = 0;
  /// The candidate has heard from no leader since its start and needs the votes of all voters. A
  /// voter that has heard from no leader since its own start may then ignore a lease that it
  /// granted before that start.
  bool after_restart = false;
};

struct VoteReply {
  bool pre_vote = false;
  bool granted = false;
};

/// Entries from the leader; without entries it is a heartbeat.
struct AppendRequest {
  Index prev_index = 0;
  Term prev_term = 0;
  Entries entries;
  Index commit = 0;
  /// The leader's monotonic time when it sent the request; receivers return it unchanged.
  TimePoint sent_at{};
};

struct AppendReply {
  bool success = false;
  /// Highest index that the sender has synced and that matches the leader's log.
  Index match = 0;
  /// The request's `prev_index`, by which the leader recognises a stale rejection.
  Index prev_index = 0;
  /// After a conflict: the highest index that may match, and its term at the sender.
  Index hint_index = 0;
  Term hint_term = 0;
  TimePoint sent_at{};
};

/// One part of a snapshot.
struct SnapshotPart {
  Index index = 0;
  Term index_term = 0;
  /// Set in the first part only.
  Membership membership;
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  std::string data;
  TimePoint sent_at{};
};

/// Acknowledges a snapshot part with the offset that the receiver needs next.
struct SnapshotReply {
  Index index = 0;
  std::uint64_t next_offset = 0;
  TimePoint sent_at{};
};

using MessageBody =
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotPart, SnapshotReply>;

/// A message between two replicas. A replica drops messages to any other identity, including
/// another incarnation of its own process.
struct Message {
  ReplicaId from;
  ReplicaId to;
  Term term = 0;
  MessageBody body;
};

}  // namespace wagtailslip::agreement
