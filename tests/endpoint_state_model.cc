#include "endpoint_state_model.h"

#include <algorithm>
#include <set>
#include <utility>

namespace wagtailslip::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Bounds of a deployment, and times of the links between processes.
constexpr Duration kContact = seconds(3);
constexpr Duration kAnnouncementInterval = milliseconds(1200);
constexpr Duration kCallTimeout = seconds(1);
constexpr Duration kLinkTimeout = milliseconds(1500);
constexpr Duration kMaxTransit = milliseconds(40);
constexpr Duration kMaxRelinkDelay = milliseconds(900);
constexpr Duration kCheckInterval = milliseconds(200);
constexpr Duration kAskInterval = milliseconds(100);
// How long after the last fault the processes are compared: the time after which an endpoint
// expires, and the time in which a call to leave may be found to be a late one.
constexpr Duration kSettlingTime = seconds(25);
const std::string kService = "bookings";

std::string AddressOf(std::size_t endpoint) { return "10.0.0." + std::to_string(endpoint) + ":80"; }

}  // namespace

EndpointStateModel::EndpointStateModel(const EndpointStateSettings& settings, std::uint64_t seed)
    : settings_(settings), random_(seed) {
  const auto count = static_cast<std::size_t>(settings.controls + settings.ingresses);
  processes_.resize(count);
  for (std::size_t i = 0; i < count; ++i) {
    processes_[i].control = i < controls();
    processes_[i].name = "10.1.0." + std::to_string(i) + ":7000";
    processes_[i].requester = StateRequester(processes_[i].name);
  }
  endpoints_.resize(static_cast<std::size_t>(settings.endpoints));
}

void EndpointStateModel::At(TimePoint at, std::function<void()> action) {
  scheduled_.push({at, ++number_, std::move(action)});
}

Duration EndpointStateModel::Between(Duration low, Duration high) {
  return Duration(std::uniform_int_distribution<Duration::rep>(low.count(), high.count())(random_));
}

bool EndpointStateModel::Chance(double share) {
  return std::bernoulli_distribution(share)(random_);
}

std::int64_t EndpointStateModel::UtcMs() const {
  return std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count();
}

bool EndpointStateModel::Reachable(const Process& process) const {
  return now_ >= process.frozen_until && now_ >= process.cut_until;
}

bool EndpointStateModel::InTouch(const Process& process) const {
  return now_ >= process.disturbed_until + kContact && now_ >= core_disturbed_until_ + kContact;
}

std::size_t EndpointStateModel::AnyControl() {
  const auto last = static_cast<std::size_t>(settings_.controls) - 1;
  return std::uniform_int_distribution<std::size_t>(0, last)(random_);
}

void EndpointStateModel::Send(std::size_t from, std::size_t to,
                              std::vector<EndpointRecord> records) {
  SendMessage(from, to, [this, from, to, records = std::move(records)](TimePoint sent_at) {
    Deliver(from, to, records, sent_at);
  });
}

void EndpointStateModel::SendMessage(std::size_t from, std::size_t to,
                                     std::function<void(TimePoint sent_at)> message) {
  if (from == to) return;
  const TimePoint sent_at = now_;
  const Process& sender = processes_[from];
  const Process& receiver = processes_[to];
  const bool linked = now_ >= sender.linked_from && now_ >= receiver.linked_from &&
                      now_ >= sender.cut_until && now_ >= receiver.cut_until;
  if (!linked) return;
  At(now_ + Between(milliseconds(1), kMaxTransit),
     [this, to, start = receiver.start, message = std::move(message), sent_at] {
       Process& process = processes_[to];
       if (process.start != start || now_ < process.cut_until) return;
       if (now_ >= process.frozen_until) return message(sent_at);
       // The sender closes the link to a process that is silent; what it has sent before arrives.
       if (now_ < process.frozen_at + kLinkTimeout) {
         process.held.push_back([message, sent_at] { message(sent_at); });
       }
     });
}

void EndpointStateModel::Deliver(std::size_t from, std::size_t to,
                                 const std::vector<EndpointRecord>& records, TimePoint sent_at) {
  Process& process = processes_[to];
  std::vector<EndpointRecord> changed;
  for (EndpointRecord it : records) {
    // Messages carry ages, so the time on the way makes a record look younger.
    it.announced_at += now_ - sent_at;
    const auto result = process.table.Apply(it, now_);
    if (result == AnnouncementResult::kIgnored || result == AnnouncementResult::kRefreshed) {
      continue;
    }
    changed.push_back(it);
    process.recent_ends.Add(it, now_);
  }
  if (!process.control || changed.empty()) return;
  const auto linked = LinkedControls(to);
  for (std::size_t i = controls(); i < processes_.size(); ++i) {
    if (RelaysAgain(process.name, linked, processes_[from].name, processes_[i].name, ingresses())) {
      Send(to, i, changed);
    }
  }
}

std::set<std::string> EndpointStateModel::LinkedControls(std::size_t process) const {
  std::set<std::string> linked;
  for (std::size_t i = 0; i < controls(); ++i) {
    const Process& it = processes_[i];
    const bool silent = now_ < it.frozen_until && now_ >= it.frozen_at + kLinkTimeout;
    if (i != process && now_ >= it.cut_until && !silent) linked.insert(it.name);
  }
  return linked;
}

void EndpointStateModel::RepeatEnds(std::size_t lost) {
  if (!SendsSummaries(ingresses())) return;
  for (std::size_t i = 0; i < controls(); ++i) {
    if (i == lost || !Reachable(processes_[i])) continue;
    const auto records = processes_[i].recent_ends.Get(now_);
    for (std::size_t to = controls(); to < processes_.size() && !records.empty(); ++to) {
      Send(i, to, records);
    }
  }
}

void EndpointStateModel::SendFullState(std::size_t from, std::size_t to) {
  Send(from, to, processes_[from].table.Snapshot());
}

void EndpointStateModel::SendSummary(std::size_t from, std::size_t to) {
  SendMessage(from, to,
              [this, from, to, summary = processes_[from].table.Summary(now_)](TimePoint) {
                OnSummary(from, to, summary);
              });
}

void EndpointStateModel::OnSummary(std::size_t from, std::size_t to,
                                   const EndpointSummary& summary) {
  Process& process = processes_[to];
  process.table.Refresh(summary, now_);
  process.requester.OnDigest(processes_[from].name, summary.digest, process.table.Digest());
  AskIfNeeded(to);
}

void EndpointStateModel::Ask(std::size_t from, std::size_t to, std::set<std::string> ids) {
  SendMessage(from, to, [this, from, to, ids = std::move(ids)](TimePoint) {
    const InstanceTable& table = processes_[to].table;
    if (!ids.empty()) return Send(to, from, table.Records(ids));
    SendMessage(to, from,
                [this, from, to, records = table.Snapshot(),
                 summary = table.Summary(now_)](TimePoint sent_at) {
                  Deliver(to, from, records, sent_at);
                  processes_[from].requester.OnState(processes_[to].name, now_);
                  OnSummary(to, from, summary);
                });
  });
}

void EndpointStateModel::AskIfNeeded(std::size_t process) {
  Process& it = processes_[process];
  if (!it.requester.any_pending() || !Reachable(it)) return;
  const auto source = it.requester.Next(it.table.Digest(), now_);
  if (!source) return;
  ++findings_.state_requests;
  for (std::size_t i = 0; i < controls(); ++i) {
    if (processes_[i].name == *source) Ask(process, i, {});
  }
}

void EndpointStateModel::Relink(std::size_t process) {
  processes_[process].linked_from = now_;
  const bool summaries = SendsSummaries(ingresses());
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    if (i == process) continue;
    const bool to_ingress = processes_[i].control != processes_[process].control;
    const std::size_t control = processes_[i].control ? i : process;
    const std::size_t ingress = processes_[i].control ? process : i;
    if (to_ingress && summaries) {
      processes_[ingress].requester.OnLinkUp(processes_[control].name);
      SendSummary(control, ingress);
      continue;
    }
    if (processes_[i].control) SendFullState(i, process);
    if (processes_[process].control) SendFullState(process, i);
  }
}

void EndpointStateModel::Restart(std::size_t number) {
  Process& process = processes_[number];
  process.table = InstanceTable();
  process.recent_ends = RecentEnds();
  process.requester = StateRequester(process.name);
  ++process.start;
  process.held.clear();
  ConfigureLater(number);
}

void EndpointStateModel::ConfigureLater(std::size_t number) {
  if (!settings_.foreign_writers) return;
  processes_[number].table.SetServices({});
  At(now_ + Between(milliseconds(100), seconds(2)),
     [this, number, start = processes_[number].start] {
       if (processes_[number].start == start) processes_[number].table.SetServices({kService});
     });
}

void EndpointStateModel::AnnounceForeign() {
  const auto last = endpoints_.size() - 1;
  const auto endpoint = std::uniform_int_distribution<std::size_t>(0, last)(random_);
  const std::size_t control = AnyControl();
  if (!Reachable(processes_[control])) return;
  EndpointRecord record;
  const bool own_id = Chance(0.5);
  record.id = own_id ? "f" + std::to_string(endpoint) : endpoints_[endpoint].id;
  record.started_ms = UtcMs() + Between(-seconds(20), seconds(20)) / milliseconds(1);
  record.sequence = std::uniform_int_distribution<std::int64_t>(1, 1000)(random_);
  record.service = "nobody's";
  record.address = AddressOf(own_id || Chance(0.5) ? endpoint : endpoints_.size());
  OnAnnouncement(control, record);
}

void EndpointStateModel::OnAnnouncement(std::size_t control, EndpointRecord record) {
  record.announced_at = now_;
  const auto result = processes_[control].table.Apply(record, now_);
  if (result == AnnouncementResult::kIgnored) return;
  const bool to_ingresses = Changed(result) || RelaysRefresh(record, ingresses());
  const std::size_t end = to_ingresses ? processes_.size() : controls();
  for (std::size_t i = 0; i < end; ++i) Send(control, i, {record});
}

void EndpointStateModel::OnLeave(std::size_t control, const std::string& id) {
  EndpointRecord record = processes_[control].table.Leave(id, now_);
  if (record.id.empty()) {
    record.id = id;
    record.started_ms = UtcMs();
    record.state = EndpointState::kGone;
    record.announced_at = now_;
    processes_[control].table.Apply(record, now_);
  }
  processes_[control].recent_ends.Add(record, now_);
  for (std::size_t i = 0; i < processes_.size(); ++i) Send(control, i, {record});
}

void EndpointStateModel::StartEndpoint(std::size_t endpoint) {
  Endpoint& it = endpoints_[endpoint];
  it.id = "e" + std::to_string(endpoint);
  it.started_ms = UtcMs();
  it.sequence = 0;
  it.announcing = true;
  it.confirmed_since = {};
  ++it.incarnation;
  Announce(endpoint, it.incarnation);
}

void EndpointStateModel::Announce(std::size_t endpoint, int incarnation) {
  Endpoint& it = endpoints_[endpoint];
  if (it.incarnation != incarnation || !it.announcing) return;
  ++it.sequence;
  EndpointRecord record;
  record.id = it.id;
  record.started_ms = it.started_ms;
  record.sequence = it.sequence;
  record.service = kService;
  record.address = AddressOf(endpoint);
  const std::size_t control = AnyControl();
  Process& process = processes_[control];
  if (Reachable(process)) {
    OnAnnouncement(control, record);
    if (it.confirmed_since == TimePoint{}) it.confirmed_since = now_;
    if (settings_.late_calls && Chance(0.05)) {
      At(now_ + Between(milliseconds(100), seconds(6)), [this, record] {
        const std::size_t other = AnyControl();
        if (Reachable(processes_[other])) OnAnnouncement(other, record);
      });
    }
  } else {
    // The call stays on its way until the fault is over, and the next process is called.
    const TimePoint until = std::max(process.frozen_until, process.cut_until);
    const TimePoint arrives =
        until + (settings_.late_calls ? Between(Duration(0), until - now_) : milliseconds(100));
    At(arrives, [this, control, record] {
      if (Reachable(processes_[control])) OnAnnouncement(control, record);
    });
  }
  At(now_ + (Reachable(process) ? kAnnouncementInterval : kCallTimeout),
     [this, endpoint, incarnation] { Announce(endpoint, incarnation); });
}

void EndpointStateModel::Stop(std::size_t endpoint, bool held_up) {
  Endpoint& it = endpoints_[endpoint];
  if (!it.announcing) return;
  it.announcing = false;
  const std::string id = it.id;
  const std::int64_t started_ms = it.started_ms;
  if (held_up) {
    // The call arrives after the endpoint has started again under its id.
    At(now_ + Between(milliseconds(4200), milliseconds(6200)), [this, id] {
      const std::size_t control = AnyControl();
      if (Reachable(processes_[control])) OnLeave(control, id);
    });
  } else {
    CallToLeave(id, started_ms, 3);
  }
  At(now_ + (held_up ? milliseconds(4000) : Between(seconds(4), seconds(10))),
     [this, endpoint] { StartEndpoint(endpoint); });
}

void EndpointStateModel::CallToLeave(const std::string& id, std::int64_t started_ms, int attempts) {
  const std::size_t control = AnyControl();
  if (Reachable(processes_[control]) && now_ >= processes_[control].linked_from) {
    OnLeave(control, id);
    // The rule concerns confirmations by a process in touch.
    if (InTouch(processes_[control])) ends_.push_back({id, started_ms, now_, now_});
    return;
  }
  if (attempts == 1) return;
  At(now_ + kCallTimeout,
     [this, id, started_ms, attempts] { CallToLeave(id, started_ms, attempts - 1); });
}

void EndpointStateModel::Fault() {
  const bool core = Chance(0.3);
  const std::size_t first = core ? 0 : controls();
  const std::size_t last = core ? controls() - 1 : processes_.size() - 1;
  const std::size_t number = std::uniform_int_distribution<std::size_t>(first, last)(random_);
  Process& process = processes_[number];
  // A majority of the control processes goes on.
  if (now_ < process.disturbed_until || (core && now_ < core_disturbed_until_)) return;
  const Duration length = Between(seconds(2), seconds(5));
  const Duration relink_delay = Between(milliseconds(50), kMaxRelinkDelay);
  const int kind = std::uniform_int_distribution<int>(0, 2)(random_);
  switch (kind) {
    case 0:
      process.frozen_at = now_;
      process.frozen_until = now_ + length;
      At(process.frozen_until, [this, number] {
        auto held = std::exchange(processes_[number].held, {});
        for (auto& it : held) it();
      });
      break;
    case 1:
      process.cut_until = now_ + length;
      break;
    default:
      Restart(number);
      process.cut_until = now_ + Between(milliseconds(300), seconds(1));
      break;
  }
  process.disturbed_until = std::max(process.frozen_until, process.cut_until);
  process.linked_from = process.disturbed_until + relink_delay;
  if (core) {
    core_disturbed_until_ = process.disturbed_until;
    const Duration delay = kind == 2 ? milliseconds(10) : kLinkTimeout;
    At(now_ + delay, [this, number] { RepeatEnds(number); });
  }
  At(process.linked_from, [this, number, start = process.start] {
    if (processes_[number].start == start) Relink(number);
  });
}

bool EndpointStateModel::InUse(const Process& process, const std::string& id,
                               std::int64_t started_ms) {
  const auto* known = process.table.Find(id);
  return known != nullptr && known->started_ms == started_ms &&
         known->state == EndpointState::kServing;
}

void EndpointStateModel::Check() {
  for (auto& end : ends_) {
    for (const auto& it : processes_) {
      if (it.control || !InTouch(it) || !InUse(it, end.id, end.started_ms)) continue;
      end.last_used_at = now_;
      findings_.longest_use_after_end =
          std::max(findings_.longest_use_after_end, now_ - end.confirmed_at);
    }
  }
  for (const auto& endpoint : endpoints_) {
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      const Process& process = processes_[i];
      const auto key = std::pair(i, endpoint.id);
      const bool lacks = !process.control && endpoint.announcing &&
                         endpoint.confirmed_since != TimePoint{} && InTouch(process) &&
                         !InUse(process, endpoint.id, endpoint.started_ms);
      if (!lacks) {
        absent_since_.erase(key);
        continue;
      }
      const auto [it, added] = absent_since_.try_emplace(key, now_);
      findings_.longest_absence = std::max(findings_.longest_absence, now_ - it->second);
    }
  }
}

EndpointStateFindings EndpointStateModel::Run() {
  const TimePoint start = now_;
  const TimePoint faults_end = start + settings_.length;
  const TimePoint end = faults_end + kSettlingTime;
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    At(start + Between(Duration(0), kAnnouncementInterval), [this, i] { StartEndpoint(i); });
  }
  for (TimePoint at = start + seconds(4); at < faults_end;
       at += Between(milliseconds(400), milliseconds(1600))) {
    const auto last = endpoints_.size() - 1;
    const auto endpoint = std::uniform_int_distribution<std::size_t>(0, last)(random_);
    const bool held_up = settings_.late_calls && Chance(0.5);
    At(at, [this, endpoint, held_up] { Stop(endpoint, held_up); });
    if (settings_.process_faults) At(at + milliseconds(100), [this] { Fault(); });
  }
  for (std::size_t i = 0; i < processes_.size(); ++i) ConfigureLater(i);
  for (TimePoint at = start; at < faults_end && settings_.foreign_writers;
       at += Between(milliseconds(100), milliseconds(900))) {
    At(at, [this] { AnnounceForeign(); });
  }
  for (TimePoint at = start; at < end; at += kCheckInterval) At(at, [this] { Check(); });
  const bool summaries = SendsSummaries(ingresses());
  for (std::size_t i = 0; i < controls() && summaries; ++i) {
    for (TimePoint at = start + Between(Duration(0), kSummaryInterval); at < end;
         at += kSummaryInterval) {
      At(at, [this, i] {
        if (!Reachable(processes_[i])) return;
        for (std::size_t to = controls(); to < processes_.size(); ++to) SendSummary(i, to);
      });
    }
  }
  for (TimePoint at = start; at < end && summaries; at += kAskInterval) {
    At(at, [this] {
      for (std::size_t i = controls(); i < processes_.size(); ++i) AskIfNeeded(i);
    });
  }
  for (TimePoint at = start; at < end; at += seconds(1)) {
    At(at, [this, summaries] {
      for (std::size_t i = controls(); i < processes_.size() && summaries; ++i) {
        Process& it = processes_[i];
        const auto aging = it.table.Aging(now_);
        if (aging.empty() || !Reachable(it)) continue;
        Ask(i, it.aging_requests++ % controls(), {aging.begin(), aging.end()});
      }
      for (auto& it : processes_) {
        if (now_ >= it.frozen_until) it.table.Expire(kEndpointTtl, kServiceActiveWindow, now_);
      }
    });
  }
  while (!scheduled_.empty() && scheduled_.top().at < end) {
    const Scheduled next = scheduled_.top();
    scheduled_.pop();
    now_ = next.at;
    next.action();
  }
  for (const auto& it : ends_) findings_.propagation.push_back(it.last_used_at - it.confirmed_at);
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    for (const auto& it : endpoints_) {
      if (InUse(processes_[i], it.id, it.started_ms) == it.announcing) continue;
      findings_.disagreements.push_back("process " + std::to_string(i) + ", " + it.id);
    }
  }
  return findings_;
}

}  // namespace wagtailslip::serving
