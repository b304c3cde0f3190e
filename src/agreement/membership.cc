#include "wagtailslip/agreement/membership.h"

#include "wagtailslip/agreement/types.h"

namespace wagtailslip::agreement {
namespace {

constexpr std::size_t kChangeHeaderBytes = 1 + sizeof(std::uint64_t);
/// Terminates the first process name of a replacement; process names never contain it.
constexpr char kNameEnd = '\0';

void AppendIncarnation(std::string& data, std::uint64_t incarnation) {
  for (unsigned shift = 0; shift < 64; shift += 8) {
    data.push_back(static_cast<char>(incarnation >> shift & 0xff));
  }
}

std::uint64_t ReadIncarnation(std::string_view data) {
  std::uint64_t incarnation = 0;
  for (unsigned i = 0; i < sizeof(std::uint64_t); ++i) {
    incarnation |= std::uint64_t{static_cast<std::uint8_t>(data[i])} << (8 * i);
  }
  return incarnation;
}

}  // namespace

std::string ReplicaId::Text() const { return process + "/" + std::to_string(incarnation); }

std::string EncodeChange(const MembershipChange& change) {
  std::string data;
  data.push_back(static_cast<char>(change.kind));
  AppendIncarnation(data, change.id.incarnation);
  data += change.id.process;
  if (change.kind != ChangeKind::kReplace) return data;
  data.push_back(kNameEnd);
  AppendIncarnation(data, change.replaced.incarnation);
  data += change.replaced.process;
  return data;
}

std::optional<MembershipChange> DecodeChange(std::string_view data) {
  if (data.size() <= kChangeHeaderBytes) return std::nullopt;
  MembershipChange change;
  change.kind = static_cast<ChangeKind>(data[0]);
  if (kChangeKinds.Name(change.kind) == "?") return std::nullopt;
  change.id.incarnation = ReadIncarnation(data.substr(1));
  data.remove_prefix(kChangeHeaderBytes);
  if (change.kind != ChangeKind::kReplace) {
    change.id.process = std::string(data);
    return change;
  }
  const std::size_t end = data.find(kNameEnd);
  // A replacement has two non-empty names; the second is preceded by its own incarnation.
  if (end == 0 || end == std::string_view::npos) return std::nullopt;
  if (data.size() <= end + kChangeHeaderBytes) return std::nullopt;
  change.id.process = std::string(data.substr(0, end));
  change.replaced.incarnation = ReadIncarnation(data.substr(end + 1));
  change.replaced.process = std::string(data.substr(end + kChangeHeaderBytes));
  return change;
}

void Membership::Set(const ReplicaId& id, MemberRole role) {
  if (IsVoter(id)) --voter_count_;
  members_[id] = role;
  if (role == MemberRole::kVoter) ++voter_count_;
}

void Membership::Erase(const ReplicaId& id) {
  if (IsVoter(id)) --voter_count_;
  members_.erase(id);
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
      Erase(change.id);
      break;
    case ChangeKind::kReplace:
      Erase(change.replaced);
      Set(change.id, MemberRole::kVoter);
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
