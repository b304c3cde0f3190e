#include "wagtailslip/agreement/membership.h"

#include "wagtailslip/agreement/types.h"

namespace wagtailslip::agreement {
namespace {

constexpr std::size_t kChangeHeaderBytes = 1 + sizeof(std::uint64_t);

}  // namespace

std::string ReplicaId::Text() const { return process + "/" + std::to_string(incarnation); }

std::string EncodeChange(const MembershipChange& change) {
  std::string data;
  data.push_back(static_cast<char>(change.kind));
  for (unsigned shift = 0; shift < 64; shift += 8) {
    data.push_back(static_cast<char>(change.id.incarnation >> shift & 0xff));
  }
  data += change.id.process;
  return data;
}

std::optional<MembershipChange> DecodeChange(std::string_view data) {
  if (data.size() <= kChangeHeaderBytes) return std::nullopt;
  MembershipChange change;
  change.kind = static_cast<ChangeKind>(data[0]);
  if (kChangeKinds.Name(change.kind) == "?") return std::nullopt;
  for (unsigned i = 0; i < sizeof(std::uint64_t); ++i) {
    change.id.incarnation |= std::uint64_t{static_cast<std::uint8_t>(data[1 + i])} << (8 * i);
  }
  change.id.process = std::string(data.substr(kChangeHeaderBytes));
  return change;
}

void Membership::Set(const ReplicaId& id, MemberRole role) {
  if (IsVoter(id)) --voter_count_;
  members_[id] = role;
  if (role == MemberRole::kVoter) ++voter_count_;
}

void Membership::Apply(const MembershipChange& change) {
  switch (change.kind) {
    case ChangeKind::kAddLearner:
      Set(change.id, MemberRole::kLearner);
      break;
    case ChangeKind::kAddStandby:
      Set(change.id, MemberRole::kStandby);
      break;
    case ChangeKind::kPromote:
    case ChangeKind::kAddVoter:
      Set(change.id, MemberRole::kVoter);
      break;
    case ChangeKind::kRemove:
      if (IsVoter(change.id)) --voter_count_;
      members_.erase(change.id);
      break;
  }
}

std::optional<MemberRole> Membership::Role(const ReplicaId& id) const {
  const auto it = members_.find(id);
  if (it == members_.end()) return std::nullopt;
  return it->second;
}

std::vector<ReplicaId> Membership::Voters() const {
  std::vector<ReplicaId> voters;
  for (const auto& [id, role] : members_) {
    if (role == MemberRole::kVoter) voters.push_back(id);
  }
  return voters;
}

PersistentState BootstrapState(const std::vector<ReplicaId>& voters) {
  if (voters.empty()) throw AgreementError("a new log needs at least one voter");
  PersistentState state;
  state.hard_state.term = 1;
  for (const ReplicaId& id : voters) {
    state.entries.push_back({state.entries.size() + 1, 1, EntryKind::kMembership,
                             EncodeChange({ChangeKind::kAddVoter, id})});
  }
  return state;
}

}  // namespace wagtailslip::agreement
