#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailslip/base/enum_table.h"

namespace wagtailslip::agreement {

/// Identity of a replica. A process that lost its data directory gets a new incarnation, because it
/// no longer knows which votes and acknowledgements it gave under the old one.
struct ReplicaId {
  std::string process;
  std::uint64_t incarnation = 0;

  bool operator==(const ReplicaId&) const = default;
  std::strong_ordering operator<=>(const ReplicaId& other) const {
    const int order = process.compare(other.process);
    return order != 0 ? order <=> 0 : incarnation <=> other.incarnation;
  }
  /// "process/incarnation", for logs and errors.
  std::string Text() const;
};

/// Role of a member of the replicated log.
enum class MemberRole : std::uint8_t {
  kLearner,  ///< Receives committed entries; never votes.
  kStandby,  ///< A learner with a data directory, which may become a voter.
  kVoter,
};
inline constexpr EnumTable<MemberRole, 3> kMemberRoles{{{{MemberRole::kLearner, "learner"},
                                                         {MemberRole::kStandby, "standby"},
                                                         {MemberRole::kVoter, "voter"}}}};

/// Kinds of membership changes.
enum class ChangeKind : std::uint8_t {
  kAddLearner,
  kAddStandby,
  kPromote,
  kRemove,
  kAddVoter,
  kReplace,  ///< Replaces a voter by a standby in one step.
};
inline constexpr EnumTable<ChangeKind, 6> kChangeKinds{{{
    {ChangeKind::kAddLearner, "add-learner"},
    {ChangeKind::kAddStandby, "add-standby"},
    {ChangeKind::kPromote, "promote"},
    {ChangeKind::kRemove, "remove"},
    {ChangeKind::kAddVoter, "add-voter"},
    {ChangeKind::kReplace, "replace"},
}}};

/// One membership change. kAddVoter occurs only in the initial entries of a new log.
struct MembershipChange {
  ChangeKind kind = ChangeKind::kAddLearner;
  ReplicaId id;
  /// The voter that is replaced; set only for kReplace.
  ReplicaId replaced{};

  bool Affects(const ReplicaId& member) const { return id == member || replaced == member; }
  bool operator==(const MembershipChange&) const = default;
};

std::string EncodeChange(const MembershipChange& change);
/// Decodes the data of a membership entry; nullopt if it is malformed.
std::optional<MembershipChange> DecodeChange(std::string_view data);

/// The members of the log and their roles.
class Membership {
 public:
  void Apply(const MembershipChange& change);

  std::optional<MemberRole> Role(const ReplicaId& id) const;
  bool IsVoter(const ReplicaId& id) const { return Role(id) == MemberRole::kVoter; }
  const std::map<ReplicaId, MemberRole>& members() const { return members_; }
  std::vector<ReplicaId> Voters() const;
  std::size_t voter_count() const { return voter_count_; }
  /// Number of voters that form a majority.
  std::size_t quorum() const { return voter_count_ / 2 + 1; }
  /// Adds a member or sets its role, for decoders.
  void Set(const ReplicaId& id, MemberRole role);

  bool operator==(const Membership&) const = default;

 private:
  void Erase(const ReplicaId& id);

  std::map<ReplicaId, MemberRole> members_;
  std::size_t voter_count_ = 0;
};

}  // namespace wagtailslip::agreement
