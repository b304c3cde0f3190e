// What an entry process does while it leads: rollouts, schedule, repair and removal of the silent.
#include <algorithm>

#include "entry_control.h"
#include "gen/wagtailslip_types.h"
#include "wagtailslip/codec/record_codec.h"
#include "wagtailslip/process/clock.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::process {
namespace {

constexpr Duration kDecidePeriod = std::chrono::milliseconds(100);
constexpr Duration kOrderPeriod = std::chrono::milliseconds(500);
constexpr Duration kRelayPeriod = std::chrono::milliseconds(200);
constexpr Duration kRepairPeriod = std::chrono::seconds(1);
constexpr Duration kVoterDeadAfter = std::chrono::seconds(5);
constexpr Duration kProcessDeadAfter = std::chrono::seconds(5);
constexpr Duration kEndpointDeadAfter = std::chrono::seconds(10);
constexpr Duration kRecordTimeout = std::chrono::seconds(2);

}  // namespace

void EntryControl::Lead(TimePoint now) {
  Decide(now);
  if (now < repair_at_) return;
  repair_at_ = now + kRepairPeriod;
  Repair(now);
  RemoveSilent(now);
  const auto scheduled = machine_.NextScheduledTime();
  if (scheduled && *scheduled <= UtcNow()) {
    Propose(
        config::ApplySchedule{UtcNow()}, kRecordTimeout,
        [](const std::optional<config::ApplyResult>& result) {
          if (result) LogEvent(Event::kScheduleApplied, {{"revision", result->revision}});
        },
        now);
  }
}

void EntryControl::Repair(TimePoint now) {
  const auto change = replica_->PlanRepair(settings_.target_voters, kVoterDeadAfter, now);
  if (!change) return;
  auto result = replica_->ChangeMembership(*change, now);
  if (result.status == agreement::ProposeStatus::kAccepted) {
    LogEvent(Event::kMembershipChanged, {{"change", agreement::kChangeKinds.Name(change->kind)},
                                         {"member", change->id.Text()}});
  }
  HandleEffects(std::move(result.effects), now);
}

void EntryControl::RemoveSilent(TimePoint now) {
  const auto ignore = [](const std::optional<config::ApplyResult>&) {};
  for (const auto& [id, process] : machine_.state().processes) {
    if (id == settings_.id || !process.present) continue;
    const auto it = peers_.find(id);
    const TimePoint heard = it == peers_.end() ? TimePoint{} : it->second.heard;
    if (now - std::max(heard, leading_since_) < kProcessDeadAfter) continue;
    Propose(config::ProcessLeft{id, process.info.incarnation}, kRecordTimeout, ignore, now);
  }
  for (const auto& [id, endpoint] : machine_.state().endpoints) {
    if (!endpoint.present) continue;
    const auto* row = reports_.Find(id);
    const TimePoint heard = row == nullptr ? TimePoint{} : row->received;
    if (now - std::max(heard, leading_since_) < kEndpointDeadAfter) continue;
    LogEvent(Event::kEndpointLeft, {{"endpoint", id}, {"reason", "no heartbeat"}});
    Propose(config::EndpointLeft{id, endpoint.info.incarnation, "no heartbeat"}, kRecordTimeout,
            ignore, now);
  }
}

void EntryControl::Decide(TimePoint now) {
  if (now < decide_at_ || records_in_flight_ > 0) return;
  decide_at_ = now + kDecidePeriod;
  auto decision = controller_.Decide(machine_.state(), reports_.progress(), replica_->term(), now);
  rollout_status_ = std::move(decision.status);
  for (auto& record : decision.records) {
    // The next decision waits until these records are applied, or their time is over.
    ++records_in_flight_;
    Propose(
        std::move(record), kRecordTimeout,
        [this](const std::optional<config::ApplyResult>&) {
          if (--records_in_flight_ == 0) decide_at_ = {};
        },
        now);
  }
  std::map<std::string, std::vector<rollout::Order>> orders;
  for (auto& it : decision.orders) orders[it.endpoint_id].push_back(std::move(it));
  orders_ = std::move(orders);
  orders_term_ = replica_->term();
  if (now >= orders_at_) SendOrders(now);
}

void EntryControl::SendOrders(TimePoint now) {
  orders_at_ = now + kOrderPeriod;
  std::map<std::string, wire::OrderBatch> batches;
  for (const auto& [endpoint, orders] : orders_) {
    const auto* row = reports_.Find(endpoint);
    if (row == nullptr || row->home.empty()) continue;
    auto& batch = batches[row->home];
    for (const auto& it : orders) batch.orders.push_back(codec::OrderToWire(it));
  }
  for (auto& [home, batch] : batches) {
    batch.term = static_cast<std::int64_t>(replica_->term());
    wire::PeerMessage body;
    body.__set_order_batch(batch);
    Send(home, body, now);
  }
}

void EntryControl::OnOrderBatch(const wire::OrderBatch& batch, TimePoint now) {
  const auto term = static_cast<std::uint64_t>(batch.term);
  if (term < orders_term_ || Leading(now)) return;
  orders_term_ = term;
  std::map<std::string, std::vector<rollout::Order>> orders;
  for (const auto& it : batch.orders) {
    auto order = codec::OrderFromWire(it);
    orders[order.endpoint_id].push_back(std::move(order));
  }
  for (auto& [endpoint, list] : orders) orders_[endpoint] = std::move(list);
}

void EntryControl::RelayReports(TimePoint now) {
  if (now < relay_at_) return;
  relay_at_ = now + kRelayPeriod;
  const auto batch = reports_.TakeRelay();
  if (batch.reports.empty()) return;
  wire::PeerMessage body;
  body.__set_load_batch(batch);
  for (const auto& [id, process] : machine_.state().processes) {
    if (process.present && id != settings_.id) Send(id, body, now);
  }
}

}  // namespace wagtailslip::process
