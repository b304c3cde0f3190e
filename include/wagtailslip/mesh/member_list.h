#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wagtailslip/mesh/member.h"

namespace wagtailslip::mesh {

/// Processes by mesh address.
using MemberMap = std::map<std::string, Member>;

/// A list of processes, or how it differs from an earlier revision.
struct MemberChanges {
  /// Revision that the changes apply to; 0 if `updated` is the whole list.
  std::int64_t base = 0;
  std::int64_t revision = 0;
  std::vector<Member> updated;
  std::vector<std::string> removed;
};

/// The list that a control process sends.
class MemberList {
 public:
  /// Replaces the list.
  /// @return the changes, for receivers of the former list; nothing if the list is the same
  std::optional<MemberChanges> Update(MemberMap members);
  MemberChanges Whole() const;
  const MemberMap& members() const { return members_; }

 private:
  MemberMap members_;
  std::int64_t revision_ = 1;
};

/// The lists that a process has received, by the control process that sent them.
class ReceivedMemberLists {
 public:
  /// Applies a list or changes. Messages of two links to the same process may arrive in any order,
  /// so what is older than the known list is ignored.
  /// @param incarnation incarnation of the source
  /// @return false if the list that the changes apply to is missing
  bool Apply(const std::string& source, std::int64_t incarnation, const MemberChanges& changes);
  /// Takes the list of a source that sends no revisions.
  void Replace(const std::string& source, MemberMap members);
  /// Discards the list of a process whose link is lost.
  void Remove(const std::string& source) { lists_.erase(source); }
  /// The processes on any list; while there is no list, those last returned.
  const MemberMap& Merged();

 private:
  struct Received {
    std::int64_t incarnation = 0;
    std::int64_t revision = 0;
    MemberMap members;
  };
  std::map<std::string, Received> lists_;
  MemberMap merged_;
};

}  // namespace wagtailslip::mesh
