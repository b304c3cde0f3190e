#include "wagtailslip/directory/address_book.h"

#include <algorithm>
#include <array>
#include <utility>

namespace wagtailslip::directory {
namespace {

/// Distance classes between a caller and a process, nearest first.
constexpr std::size_t kSameDomain = 0;
constexpr std::size_t kSameRegion = 1;
constexpr std::size_t kOtherRegion = 2;
constexpr std::size_t kDistanceCount = 3;

std::size_t DistanceOf(const Location& caller, const Location& process) {
  if (caller.region.empty() || caller.region != process.region) return kOtherRegion;
  if (!caller.failure_domain.empty() && caller.failure_domain == process.failure_domain) {
    return kSameDomain;
  }
  return kSameRegion;
}

}  // namespace

bool AddressBook::Update(EntryProcess process) {
  const auto withdrawn = withdrawn_.find(process.id);
  const auto it = processes_.find(process.id);
  const bool older = it != processes_.end() && process.incarnation < it->second.incarnation;
  const bool already_withdrawn = process.state == ProcessState::kLive &&
                                 withdrawn != withdrawn_.end() &&
                                 process.incarnation <= withdrawn->second;
  if (older || already_withdrawn) {
    ++counters_.stale_updates;
    return false;
  }
  if (process.state == ProcessState::kLeaving &&
      (withdrawn == withdrawn_.end() || withdrawn->second < process.incarnation)) {
    withdrawn_[process.id] = process.incarnation;
    ++counters_.withdrawals;
  }
  std::string id = process.id;
  processes_.insert_or_assign(std::move(id), std::move(process));
  return true;
}

void AddressBook::MarkDead(const std::string& id, std::uint64_t incarnation) {
  const auto it = processes_.find(id);
  if (it == processes_.end() || it->second.incarnation > incarnation) return;
  it->second.state = ProcessState::kDead;
  it->second.incarnation = incarnation;
}

AddressAnswer AddressBook::Answer(const Location& caller, bool has_lease, TimePoint now) {
  std::array<std::vector<const EntryProcess*>, kDistanceCount> groups;
  for (const auto& [id, process] : processes_) {
    if (process.state != ProcessState::kLive) continue;
    // Without a lease this process can serve only lookups, so it does not offer its own address.
    if (!has_lease && id == self_) continue;
    groups[DistanceOf(caller, process.location)].push_back(&process);
  }
  AddressAnswer answer;
  answer.max_age = has_lease ? kAnswerMaxAge : Duration(0);
  const std::uint64_t rotation = rotation_++;
  for (const auto& group : groups) {
    for (std::size_t i = 0; i < group.size() && answer.addresses.size() < kAnswerSize; ++i) {
      const EntryProcess& process = *group[(i + rotation) % group.size()];
      answer.addresses.push_back(process.address);
      if (has_lease) last_cacheable_answer_[process.id] = now;
    }
  }
  ++counters_.answers;
  if (!has_lease) ++counters_.uncached_answers;
  return answer;
}

Duration AddressBook::AnswersExpireIn(const std::string& id, TimePoint now) const {
  const auto it = last_cacheable_answer_.find(id);
  if (it == last_cacheable_answer_.end()) return Duration(0);
  return std::max(Duration(0), it->second + kAnswerMaxAge - now);
}

ExitPlan::ExitPlan(std::vector<std::string> peers, TimePoint now) : committed_at_(now) {
  for (auto& peer : peers) {
    peers_.emplace(std::move(peer), Peer{false, now + kPeerLease + kAnswerMaxAge});
  }
}

void ExitPlan::OnConfirmed(const std::string& peer, Duration expire_in, TimePoint now) {
  const auto it = peers_.find(peer);
  if (it == peers_.end() || it->second.confirmed) return;
  it->second = {true, now + std::clamp(expire_in, Duration(0), kAnswerMaxAge)};
}

TimePoint ExitPlan::MayExitAt() const {
  TimePoint latest = committed_at_;
  for (const auto& [id, peer] : peers_) latest = std::max(latest, peer.answers_expire_at);
  return latest + kExitMargin;
}

std::size_t ExitPlan::unconfirmed() const {
  return static_cast<std::size_t>(std::count_if(
      peers_.begin(), peers_.end(), [](const auto& row) { return !row.second.confirmed; }));
}

}  // namespace wagtailslip::directory
