#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "wagtailslip/agreement/types.h"
#include "wagtailslip/base/time.h"

namespace wagtailslip::agreement {

/// Asks for a vote. A pre-vote names the term that the sender would start and changes no state.
struct VoteRequest {
  bool pre_vote = false;
  Index last_index = 0;
  Term last_term = 0;
  /// The candidate has heard no leader since its start and counts only a vote of every voter. A
  /// voter in the same state then need not wait for a lease that it granted before its start.
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
  /// The leader's monotonic time when it sent the request; receivers only echo it.
  TimePoint sent_at{};
};

struct AppendReply {
  bool success = false;
  /// Highest index that the sender has synced and that matches the leader's log.
  Index match = 0;
  /// The request's `prev_index`, so that the leader can tell a stale rejection.
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

/// Names the part that the receiver needs next.
struct SnapshotReply {
  Index index = 0;
  std::uint64_t next_offset = 0;
  TimePoint sent_at{};
};

using MessageBody =
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotPart, SnapshotReply>;

/// A message between two replicas. A receiver drops a message to another identity, which includes
/// another incarnation of its own process.
struct Message {
  ReplicaId from;
  ReplicaId to;
  Term term = 0;
  MessageBody body;
};

}  // namespace wagtailslip::agreement
