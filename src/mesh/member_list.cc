#include "wagtailslip/mesh/member_list.h"

namespace wagtailslip::mesh {

std::optional<MemberChanges> MemberList::Update(MemberMap members) {
  if (members == members_) return std::nullopt;
  MemberChanges changes;
  changes.base = revision_;
  changes.revision = ++revision_;
  for (const auto& [process, member] : members) {
    const auto known = members_.find(process);
    if (known == members_.end() || known->second != member) changes.updated.push_back(member);
  }
  for (const auto& [process, member] : members_) {
    if (!members.contains(process)) changes.removed.push_back(process);
  }
  members_ = std::move(members);
  return changes;
}

MemberChanges MemberList::Whole() const {
  MemberChanges changes;
  changes.revision = revision_;
  for (const auto& [process, member] : members_) changes.updated.push_back(member);
  return changes;
}

bool ReceivedMemberLists::Apply(const std::string& source, std::int64_t incarnation,
                                const MemberChanges& changes) {
  const auto it = lists_.find(source);
  const bool known = it != lists_.end() && it->second.incarnation == incarnation;
  if (it != lists_.end() && it->second.incarnation > incarnation) return true;
  if (known && changes.revision <= it->second.revision) return true;
  const bool whole = changes.base == 0;
  if (!whole && !(known && changes.base == it->second.revision)) return false;
  Received& list = lists_[source];
  if (whole) list.members.clear();
  list.incarnation = incarnation;
  list.revision = changes.revision;
  for (const auto& process : changes.removed) list.members.erase(process);
  for (const auto& member : changes.updated) list.members[member.process] = member;
  return true;
}

void ReceivedMemberLists::Replace(const std::string& source, MemberMap members) {
  lists_[source] = {0, 0, std::move(members)};
}

const MemberMap& ReceivedMemberLists::Merged() {
  if (lists_.empty()) return merged_;
  merged_.clear();
  for (const auto& [source, list] : lists_) {
    merged_.insert(list.members.begin(), list.members.end());
  }
  return merged_;
}

}  // namespace wagtailslip::mesh
