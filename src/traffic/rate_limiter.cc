#include "wagtailslip/traffic/rate_limiter.h"

#include <algorithm>
#include <cmath>

#include "wagtailslip/base/digest.h"
#include "wagtailslip/base/error.h"

namespace wagtailslip::traffic {
namespace {

/// Time constant of the demand estimate.
constexpr double kDemandSeconds = 1.0;
/// Part of its own share that a process without demand keeps, for the first requests to come.
constexpr double kKeep = 0.1;
/// Room above the measured demand.
constexpr double kHeadroom = 1.25;
/// Demand in requests per second below which a key counts as idle.
constexpr double kSmallestDemand = 0.01;
/// A bucket holds at least one request, however small the share.
constexpr double kSmallestBurst = 1.0;
/// Retry time where a process has no share at all.
constexpr Duration kRetryWithoutShare = std::chrono::seconds(2);

}  // namespace

void RateLimiter::Claims::Add(TimePoint until, double rate, TimePoint now) {
  std::erase_if(rows, [&](const auto& row) {
    return row.first <= now || (row.first <= until && row.second <= rate);
  });
  rows.emplace_back(until, rate);
}

double RateLimiter::Claims::Largest(TimePoint now) {
  double largest = 0;
  std::erase_if(rows, [&](const auto& row) { return row.first <= now; });
  for (const auto& [until, rate] : rows) largest = std::max(largest, rate);
  return largest;
}

double RateLimiter::EvenPart(double limit) const {
  const bool member = std::find(members_.begin(), members_.end(), self_) != members_.end();
  return member ? limit / static_cast<double>(members_.size()) : 0;
}

std::string RateLimiter::HomeOf(const LimitKey& key) const {
  const std::uint64_t seed = Hash64(key.account, Hash64(key.kind));
  std::string home;
  std::uint64_t highest = 0;
  for (const std::string& member : members_) {
    const std::uint64_t weight = Hash64(member, seed);
    if (!home.empty() && weight < highest) continue;
    highest = weight;
    home = member;
  }
  return home;
}

void RateLimiter::SetPart(Key& key, TimePoint now) {
  key.earlier_parts.emplace_back(now, key.part);
  key.part = EvenPart(key.limit);
}

void RateLimiter::SetMembers(std::vector<std::string> members, TimePoint now, bool skipped) {
  std::sort(members.begin(), members.end());
  if (members == members_ && !skipped) return;
  members_ = std::move(members);
  const auto change = [&](Key& key) {
    SetPart(key, now);
    if (skipped) key.earlier_parts.emplace_back(now, 0);
  };
  for (auto& [kind, key] : templates_) change(key);
  for (auto& [name, key] : keys_) {
    change(key);
    std::string home = HomeOf(name);
    // A new home knows no loans yet; grants of the old one run out by themselves.
    if (home != key.home) key.borrowers.clear();
    key.home = std::move(home);
  }
}

RateLimiter::Key& RateLimiter::Create(const LimitKey& name, const Key& initial, TimePoint now) {
  Key& key = keys_.insert_or_assign(name, initial).first->second;
  key.home = HomeOf(name);
  key.demand_updated = key.filled = now;
  return key;
}

void RateLimiter::SetLimit(const LimitKey& name, double rate, TimePoint now) {
  const auto change = [&](Key& key) {
    if (key.limit == rate) return;
    key.limit = rate;
    SetPart(key, now);
  };
  if (name.account == "*") {
    change(templates_[name.kind]);
    for (auto& [other, key] : keys_) {
      if (other.kind == name.kind && key.of_template) change(key);
    }
    templates_[name.kind].of_template = true;
    if (rate > 0) return;
    templates_.erase(name.kind);
    std::erase_if(keys_, [&](const auto& row) {
      return row.first.kind == name.kind && row.second.of_template;
    });
    return;
  }
  const auto it = keys_.find(name);
  if (rate <= 0) {
    if (it != keys_.end()) keys_.erase(it);
    return;
  }
  // Nothing was in force before a new key, so its part counts only from kSettle on.
  Key& key = it == keys_.end() ? Create(name, Key{}, now) : it->second;
  key.of_template = false;
  change(key);
}

RateLimiter::Key* RateLimiter::Find(const std::string& account, const std::string& kind,
                                    TimePoint now) {
  const LimitKey name{account, kind};
  const auto it = keys_.find(name);
  if (it != keys_.end()) return &it->second;
  const auto general = templates_.find(kind);
  return general == templates_.end() ? nullptr : &Create(name, general->second, now);
}

double RateLimiter::OwnPart(Key& key, TimePoint now) {
  if (now >= lease_until_) return 0;
  while (!key.earlier_parts.empty() && key.earlier_parts.front().first + kSettle <= now) {
    key.earlier_parts.pop_front();
  }
  double part = key.part;
  for (const auto& [replaced, earlier] : key.earlier_parts) part = std::min(part, earlier);
  return part;
}

double RateLimiter::ShareOf(Key& key, TimePoint now) {
  const double own = std::max(0.0, OwnPart(key, now) - key.lent.Largest(now));
  const bool granted = now < key.granted_until && now < lease_until_;
  return own + (granted ? key.granted : 0);
}

double RateLimiter::Share(const LimitKey& name, TimePoint now) {
  const auto it = keys_.find(name);
  return it == keys_.end() ? 0 : ShareOf(it->second, now);
}

void RateLimiter::Observe(Key& key, double requests, TimePoint now) {
  const double seconds = ToSeconds(now - key.demand_updated);
  if (seconds > 0) {
    key.demand *= std::exp(-seconds / kDemandSeconds);
    key.demand_updated = now;
  }
  key.demand += requests / kDemandSeconds;
}

void RateLimiter::Fill(Key& key, TimePoint now) {
  const double share = ShareOf(key, now);
  const double most = std::max(kSmallestBurst, share * ToSeconds(kBurst));
  key.tokens = std::min(most, key.tokens + share * ToSeconds(now - key.filled));
  key.filled = now;
}

LimitDecision RateLimiter::Take(const std::string& account, const std::string& kind,
                                TimePoint now) {
  Key* const keys[] = {Find(account, kind, now), Find(account, "*", now)};
  LimitDecision decision;
  for (Key* key : keys) {
    if (key == nullptr) continue;
    Observe(*key, 1, now);
    Fill(*key, now);
    if (key->tokens >= 1) continue;
    decision.allowed = false;
    const double share = ShareOf(*key, now);
    const Duration wait =
        share > 0 ? Duration(static_cast<Duration::rep>((1 - key->tokens) / share * 1e9))
                  : kRetryWithoutShare;
    decision.retry_after = std::max(decision.retry_after, wait);
  }
  ++(decision.allowed ? counters_.allowed : counters_.refused);
  if (!decision.allowed) return decision;
  for (Key* key : keys) {
    if (key != nullptr) key->tokens -= 1;
  }
  return decision;
}

double RateLimiter::Lend(Key& key, TimePoint now) {
  // A loan that the home cannot use would only be withheld from the process itself.
  if (!key.wanted || !home_stamps_.contains(key.home)) return 0;
  if (key.lent_to != key.home) {
    if (key.lent.Largest(now) > 0) return 0;
    key.lent_to = key.home;
  }
  const double own = OwnPart(key, now);
  const double lent = own - std::max(kKeep * own, kHeadroom * key.demand);
  if (lent <= 0) return 0;
  key.lent.Add(now + kLoan + kClockMargin, lent, now);
  return lent;
}

std::vector<LimitMessage> RateLimiter::Tick(TimePoint now) {
  if (now < next_report_) return {};
  next_report_ = now + kPeriod;
  ++period_;
  std::map<std::string, ShareReport> reports;
  if (now >= lease_until_) return {};
  for (auto& [name, key] : keys_) {
    if (key.home.empty()) continue;
    Observe(key, 0, now);
    const bool idle = !key.wanted && key.demand < kSmallestDemand;
    if (idle && period_ % kIdlePeriods != 0) continue;
    reports[key.home].rows.push_back({name, key.demand, Lend(key, now)});
  }
  std::vector<LimitMessage> messages;
  for (auto& [home, report] : reports) {
    report.from = self_;
    report.to = home;
    report.stamp = {incarnation_, now.time_since_epoch().count()};
    const auto stamp = home_stamps_.find(home);
    if (stamp != home_stamps_.end()) report.echo = stamp->second;
    messages.emplace_back(std::move(report));
    ++counters_.reports;
  }
  return messages;
}

std::vector<LimitMessage> RateLimiter::OnMessage(const LimitMessage& message, TimePoint now) {
  if (const auto* report = std::get_if<ShareReport>(&message)) return OnReport(*report, now);
  OnGrant(std::get<ShareGrant>(message), now);
  return {};
}

std::vector<LimitMessage> RateLimiter::OnReport(const ShareReport& report, TimePoint now) {
  ShareGrant grant;
  grant.from = self_;
  grant.to = report.from;
  grant.stamp = {incarnation_, now.time_since_epoch().count()};
  grant.echo = report.stamp;
  const bool echoed = report.echo.incarnation == incarnation_;
  for (const auto& row : report.rows) {
    const auto it = keys_.find(row.key);
    if (it == keys_.end() || it->second.home != self_) continue;
    Borrower& borrower = it->second.borrowers[report.from];
    // A report that was overtaken by a newer one is out of date.
    if (!(borrower.stamp < report.stamp)) continue;
    borrower.stamp = report.stamp;
    borrower.demand = row.demand;
    borrower.seen = now;
    borrower.lent = echoed ? row.lent : 0;
    // The stamp is this process's own, from before the loan was made.
    borrower.lent_until = TimePoint(Duration(report.echo.nanoseconds)) + kLoan;
    grant.rows.push_back(GrantFor(row.key, it->second, borrower, now));
  }
  ++counters_.grants;
  return {std::move(grant)};
}

ShareGrant::Row RateLimiter::GrantFor(const LimitKey& name, Key& key, Borrower& borrower,
                                      TimePoint now) {
  const double part = EvenPart(key.limit);
  const auto need_of = [&](const Borrower& member) {
    return std::max(0.0, kHeadroom * member.demand - part);
  };
  double pool = 0;
  double out = 0;
  double needs = 0;
  for (auto& [id, member] : key.borrowers) {
    if (now + kGrant + kClockMargin <= member.lent_until) pool += member.lent;
    if (&member != &borrower) out += member.granted.Largest(now);
    if (now - member.seen <= 2 * kPeriod) needs += need_of(member);
  }
  const double need = need_of(borrower);
  ShareGrant::Row row{name, 0, needs > need};
  if (need <= 0 || now >= lease_until_) return row;
  // The borrower uses either this grant or the one before it, never both, so only the grants of
  // the others reduce what is left.
  row.rate = std::min({need, pool * need / needs, std::max(0.0, pool - out)});
  if (row.rate > 0) borrower.granted.Add(now + kGrant + kClockMargin, row.rate, now);
  return row;
}

void RateLimiter::OnGrant(const ShareGrant& grant, TimePoint now) {
  LocalStamp& known = home_stamps_[grant.from];
  known = std::max(known, grant.stamp);
  if (grant.echo.incarnation != incarnation_) return;
  const TimePoint until = TimePoint(Duration(grant.echo.nanoseconds)) + kGrant;
  for (const auto& row : grant.rows) {
    const auto it = keys_.find(row.key);
    if (it == keys_.end() || it->second.home != grant.from) continue;
    Key& key = it->second;
    if (until <= key.granted_until || until <= now) continue;
    Fill(key, now);
    key.granted = row.rate;
    key.granted_until = until;
    key.wanted = row.wanted;
  }
}

std::optional<RateLimiter::KeyStatus> RateLimiter::Status(const LimitKey& name, TimePoint now) {
  const auto it = keys_.find(name);
  if (it == keys_.end()) return std::nullopt;
  Key& key = it->second;
  return KeyStatus{key.limit,
                   OwnPart(key, now),
                   key.lent.Largest(now),
                   now < key.granted_until ? key.granted : 0,
                   key.demand,
                   key.home};
}

}  // namespace wagtailslip::traffic
