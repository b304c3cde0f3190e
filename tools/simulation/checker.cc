#include "checker.h"

#include "wagtailslip/base/digest.h"

namespace wagtailslip::simulation {

void Checker::CheckApplied(const agreement::Replica& applier, const agreement::Entry& entry,
                           std::uint64_t hash) {
  const std::string replica = applier.id().Text();
  const std::uint64_t data_hash = Hash64(entry.data, static_cast<std::uint64_t>(entry.kind));
  if (entry.index <= log_.size()) {
    const CommittedEntry& committed = log_[entry.index - 1];
    if (committed.term != entry.term || committed.data_hash != data_hash ||
        committed.state_hash != hash) {
      throw CheckFailed(replica + " applied a different entry at index " +
                        std::to_string(entry.index));
    }
    return;
  }
  if (entry.index != log_.size() + 1) {
    throw CheckFailed(replica + " applied index " + std::to_string(entry.index) +
                      " before any replica applied " + std::to_string(log_.size() + 1));
  }
  log_.push_back({entry.term, data_hash, hash, applier.term()});
  if (entry.kind == agreement::EntryKind::kMembership) {
    membership_.Apply(*agreement::DecodeChange(entry.data));
  }
}

void Checker::CheckRestored(const std::string& replica, agreement::Index index,
                            std::uint64_t hash) {
  if (index > log_.size() || (index > 0 && log_[index - 1].state_hash != hash)) {
    throw CheckFailed(replica + " restored a different state at index " + std::to_string(index));
  }
}

void Checker::CheckAnswer(const Request& request, std::uint64_t result) {
  ++answers_;
  const auto [by_request, first] = results_.emplace(request, result);
  const auto [by_result, first_use] = requests_by_result_.emplace(result, request);
  if (by_request->second != result || by_result->second != request) {
    throw CheckFailed("request " + std::to_string(request.client) + "." +
                      std::to_string(request.sequence) +
                      " got a second result or the result of another request");
  }
}

void Checker::CheckElected(const agreement::Replica& replica) {
  const auto [leader, first] = leaders_.emplace(replica.term(), replica.id());
  if (leader->second != replica.id()) {
    throw CheckFailed("term " + std::to_string(replica.term()) + " has two leaders, " +
                      leader->second.Text() + " and " + replica.id().Text());
  }
  agreement::Index last = log_.size();
  while (last > 0 && log_[last - 1].commit_term >= replica.term()) --last;
  if (last == 0) return;
  const bool complete =
      replica.last_index() >= last &&
      (last < replica.log().base() || replica.log().TermAt(last) == log_[last - 1].term);
  if (!complete) {
    throw CheckFailed(replica.id().Text() + " became leader without the committed entry at index " +
                      std::to_string(last));
  }
}

void Checker::CheckLeaseHolders(const std::vector<const agreement::Replica*>& holders) const {
  if (holders.size() < 2) return;
  throw CheckFailed(holders[0]->id().Text() + " and " + holders[1]->id().Text() +
                    " hold leases at the same time");
}

}  // namespace wagtailslip::simulation
