#include "wagtailslip/rollout/controller.h"

#include <algorithm>
#include <optional>
#include <set>

#include "wagtailslip/config/state_machine.h"

namespace wagtailslip::rollout {
namespace {

using config::AdvanceRollout;
using config::Artifact;
using config::Assignment;
using config::Endpoint;
using config::Rollout;
using config::VersionHistory;

/// One endpoint of a line as the controller sees it.
struct Member {
  const std::string* id = nullptr;
  const Endpoint* endpoint = nullptr;
  /// Null if the endpoint has not reported lately.
  const Progress* progress = nullptr;
  const Assignment* assignment = nullptr;
  bool opened = false;
  bool failed = false;
  bool at_target = false;
  bool serving = false;
  RoutingDecision route;

  /// Serves the target but was allowed to swap to something else, and may be about to.
  bool Diverted() const { return at_target && !opened && assignment != nullptr; }
};

const Assignment* FindAssignment(const VersionHistory& line, const std::string& id) {
  const auto it = line.assignments.find(id);
  return it == line.assignments.end() ? nullptr : &it->second;
}

bool Serves(const Progress* progress, const Digest& root) {
  return progress != nullptr && progress->state != ReplicaState::kExcluded &&
         progress->served_root == root;
}

/// Whether an endpoint may serve a root at present. Anything goes while no version is recorded.
bool MayServe(const VersionHistory& line, const Assignment* assignment, const Digest& root) {
  if (assignment != nullptr) {
    return root == assignment->artifact.root ||
           (!assignment->swapped && root == assignment->previous);
  }
  if (line.permitted_roots.empty() && !line.last_good) return true;
  return (line.last_good && root == line.last_good->root) ||
         std::find(line.permitted_roots.begin(), line.permitted_roots.end(), root) !=
             line.permitted_roots.end();
}

/// Present engines of one model, by id.
using Engines = std::vector<const Endpoint*>;

/// Decisions for one line.
class LineDecision {
 public:
  LineDecision(const config::State& state, const std::string& key, const VersionHistory& line,
               const Rollout& rollout, std::uint64_t term, Decision& out)
      : state_(state), key_(key), line_(line), rollout_(rollout), term_(term), out_(out) {
    running_ = config::IsActive(rollout);
    back_ = config::IsRollingBack(rollout);
    if (running_ && !back_) {
      target_ = config::ArtifactOf(rollout);
    } else {
      target_ = line.last_good;
    }
  }

  using LineReports = std::map<std::string, Progress>;

  /// @param base_reports reports on the model that an adapter needs; null for a model
  void Run(const Engines& engines, const LineReports* reports, const LineReports* base_reports,
           TimePoint now, Duration timeout) {
    Collect(engines, reports, base_reports, now, timeout);
    for (const auto& member : members_) Exclude(member);
    if (!target_) {
      if (back_) Propose("returned", {}, rollout_.reason + "; there is no earlier version");
      return;
    }
    if (running_) Advance();
    out_.orders.reserve(out_.orders.size() + members_.size());
    for (const auto& member : members_) GiveOrder(member);
  }

 private:
  void Collect(const Engines& engines, const LineReports* reports, const LineReports* base_reports,
               TimePoint now, Duration timeout) {
    const auto& failed = back_ ? rollout_.rollback_failed : rollout_.failed;
    const std::set<std::string> failed_ids(failed.begin(), failed.end());
    members_.reserve(engines.size());
    // Endpoints and reports are in the same order, so one pass over both finds each report.
    LineReports::const_iterator report;
    if (reports != nullptr) report = reports->begin();
    for (const Endpoint* entry : engines) {
      const Endpoint& endpoint = *entry;
      const std::string& id = endpoint.info.endpoint_id;
      if (!line_.adapter.empty() && !HasBase(base_reports, id)) continue;
      Member member{.id = &id, .endpoint = &endpoint};
      if (reports != nullptr) {
        while (report != reports->end() && report->first < id) ++report;
        if (report != reports->end() && report->first == id &&
            report->second.incarnation == endpoint.info.incarnation &&
            now - report->second.received_at <= timeout) {
          member.progress = &report->second;
        }
      }
      member.assignment = FindAssignment(line_, id);
      member.opened = target_ && member.assignment != nullptr &&
                      member.assignment->artifact.rollout_id == target_->rollout_id;
      member.failed = failed_ids.contains(id);
      const bool working =
          member.progress != nullptr && (member.progress->state == ReplicaState::kDraining ||
                                         member.progress->state == ReplicaState::kLoading ||
                                         member.progress->state == ReplicaState::kChecking);
      member.at_target = target_ && !working && Serves(member.progress, target_->root);
      member.route = DecideRouting(line_, endpoint, member.progress);
      member.serving = !working && member.route.allowed;
      members_.push_back(member);
    }
  }

  /// Whether an endpoint serves the model version that the adapter needs.
  bool HasBase(const LineReports* base_reports, const std::string& id) const {
    const auto base = state_.version_histories.find(line_.model);
    if (base_reports == nullptr || base == state_.version_histories.end() ||
        !base->second.last_good) {
      return false;
    }
    const auto it = base_reports->find(id);
    return it != base_reports->end() && Serves(&it->second, base->second.last_good->root);
  }

  void Exclude(const Member& member) {
    if (!member.route.allowed) out_.excluded.push_back({*member.id, key_, member.route.reason});
  }

  void Propose(const std::string& event, std::vector<std::string> endpoints,
               std::string reason = {}) {
    out_.records.emplace_back(AdvanceRollout{rollout_.id, event, std::move(endpoints),
                                             std::move(reason), rollout_.batches + 1, back_});
  }

  void Advance() {
    RolloutStatus status;
    status.rollout_id = rollout_.id;
    status.members = members_.size();
    std::vector<std::string> done;
    std::vector<std::string> failed;
    std::string error;
    std::size_t unfinished = 0;
    for (auto& member : members_) {
      const Progress* progress = member.progress;
      if (member.serving) ++status.serving;
      if (progress == nullptr) continue;
      if (progress->Verified() && progress->target_root == target_->root) ++status.verified;
      if (member.at_target) {
        ++status.serving_target;
        if (member.opened && !member.assignment->swapped) done.push_back(*member.id);
        if (member.Diverted()) ++unfinished;
        continue;
      }
      if (!member.failed && progress->state == ReplicaState::kFailed &&
          progress->target_root == target_->root) {
        failed.push_back(*member.id);
        error = progress->error;
        member.failed = true;
      }
      if (member.failed) {
        ++status.failed;
        continue;
      }
      ++unfinished;
      if (member.opened) ++status.swapping;
    }
    if (rollout_.state == "pending") Propose("start", {});
    if (!done.empty()) Propose("swapped", done);
    if (!failed.empty()) Propose("fail", failed, failed.front() + ": " + error);
    if (!back_ && rollout_.failed.size() + failed.size() >= rollout_.spec.failure_limit) {
      Propose("halt", {},
              std::to_string(rollout_.failed.size() + failed.size()) +
                  " replicas failed, the limit is " + std::to_string(rollout_.spec.failure_limit) +
                  "; last: " + (failed.empty() ? rollout_.reason : failed.front() + ": " + error));
    } else if (rollout_.state == "distributing" || rollout_.state == "swapping" || back_) {
      if (unfinished == 0 && (back_ || status.serving_target > 0)) {
        Propose(back_ ? "returned" : "complete", {});
      } else {
        OpenBatch(status);
      }
    } else {
      status.wait_reason = rollout_.state;
    }
    out_.status.push_back(std::move(status));
  }

  /// Chooses endpoints that may swap next. A serving one may go only while the rest keeps the
  /// minimum; one that serves nothing costs nothing. The last serving replica of a failure domain
  /// waits while another one of the domain swaps.
  void OpenBatch(RolloutStatus& status) {
    std::map<std::string, std::size_t> domain_serving;
    std::map<std::string, std::size_t> domain_out;
    std::map<std::string, std::vector<const Member*>> candidates;
    std::size_t waiting_chunks = 0;
    for (const auto& member : members_) {
      const std::string& domain = member.endpoint->info.failure_domain;
      if (member.serving) ++domain_serving[domain];
      if (member.opened && !member.at_target && !member.failed && member.progress != nullptr) {
        ++domain_out[domain];
      }
      if (member.opened || member.failed || member.progress == nullptr) continue;
      if (member.at_target && !member.Diverted()) continue;
      if (!member.at_target &&
          (!member.progress->Verified() || member.progress->target_root != target_->root)) {
        ++waiting_chunks;
        continue;
      }
      candidates[domain].push_back(&member);
    }
    for (auto& [domain, list] : candidates) {
      // Endpoints that serve nothing go first: they add capacity and cost none.
      std::stable_partition(list.begin(), list.end(), [](const auto* m) { return !m->serving; });
    }
    std::vector<std::string> batch;
    std::size_t serving = status.serving;
    std::size_t out = status.swapping;
    bool held_by_minimum = false;
    while (out < rollout_.spec.batch_size) {
      const Member* next = nullptr;
      std::size_t fewest = 0;
      for (auto& [domain, list] : candidates) {
        if (list.empty()) continue;
        const Member* first = list.front();
        if (first->serving && (serving <= rollout_.spec.minimum_serving ||
                               (domain_serving[domain] <= 1 && domain_out[domain] > 0))) {
          held_by_minimum = true;
          continue;
        }
        if (next == nullptr || domain_out[domain] < fewest) {
          next = first;
          fewest = domain_out[domain];
        }
      }
      if (next == nullptr) break;
      const std::string& domain = next->endpoint->info.failure_domain;
      if (next->serving) {
        --serving;
        --domain_serving[domain];
      }
      WTS_INVARIANT(!next->serving || serving >= rollout_.spec.minimum_serving);
      ++domain_out[domain];
      ++out;
      batch.push_back(*next->id);
      candidates[domain].erase(candidates[domain].begin());
    }
    if (!batch.empty()) {
      Propose("open", std::move(batch));
    } else if (out >= rollout_.spec.batch_size) {
      status.wait_reason = "a batch is swapping";
    } else if (held_by_minimum) {
      status.wait_reason = "only " + std::to_string(serving) + " replicas serve, the minimum is " +
                           std::to_string(rollout_.spec.minimum_serving);
    } else if (waiting_chunks > 0) {
      status.wait_reason = std::to_string(waiting_chunks) + " endpoints are fetching chunks";
    }
  }

  void GiveOrder(const Member& member) {
    if (member.progress == nullptr) return;
    const bool opened = running_ && member.opened;
    Order order;
    order.endpoint_id = *member.id;
    order.incarnation = member.endpoint->info.incarnation;
    order.model = line_.model;
    order.adapter = line_.adapter;
    order.artifact = *target_;
    // An assignment may date from an earlier rollout that returned to the same version.
    config::Revision revision = rollout_.state_revision;
    if (member.assignment != nullptr) revision = std::max(revision, member.assignment->revision);
    if (!running_) {
      // No rollout runs: everything serves the last good version.
      order.kind = OrderKind::kSwap;
      revision = std::max(revision, line_.last_good_revision);
    } else if (opened) {
      order.kind = OrderKind::kSwap;
    } else if (rollout_.state == "paused") {
      return;
    }
    order.token = {term_, std::max(revision, member.endpoint->joined)};
    out_.orders.push_back(std::move(order));
  }

  const config::State& state_;
  const std::string& key_;
  const VersionHistory& line_;
  const Rollout& rollout_;
  std::uint64_t term_;
  Decision& out_;
  bool running_ = false;
  bool back_ = false;
  std::optional<Artifact> target_;
  std::vector<Member> members_;
};

}  // namespace

RoutingDecision DecideRouting(const config::VersionHistory& line, const config::Endpoint& endpoint,
                              const Progress* progress) {
  if (!endpoint.present) return {false, "left"};
  if (endpoint.draining) return {false, "drained by an operator"};
  if (progress == nullptr || progress->served_root == Digest{}) return {false, "serves nothing"};
  if (progress->state == ReplicaState::kExcluded) return {false, "excluded by its agent"};
  const Assignment* assignment = FindAssignment(line, endpoint.info.endpoint_id);
  if (!MayServe(line, assignment, progress->served_root)) {
    return {false, "serves something else than ordered"};
  }
  if (assignment != nullptr && !assignment->swapped &&
      progress->served_root != assignment->artifact.root) {
    return {false, "swapping"};
  }
  return {};
}

Decision Controller::Decide(const config::State& state, const Reports& reports, std::uint64_t term,
                            TimePoint now) const {
  Decision decision;
  std::map<std::string_view, Engines> engines;
  for (const auto& [id, endpoint] : state.endpoints) {
    if (!endpoint.present || endpoint.info.role != config::EndpointRole::kEngine) continue;
    engines[endpoint.info.model].push_back(&endpoint);
  }
  for (const auto& [key, line] : state.version_histories) {
    const auto it = reports.find(key);
    const auto base = line.adapter.empty() ? reports.end() : reports.find(line.model);
    LineDecision(state, key, line, state.rollouts.at(line.rollout_id), term, decision)
        .Run(engines[line.model], it == reports.end() ? nullptr : &it->second,
             base == reports.end() ? nullptr : &base->second, now, options_.report_timeout);
  }
  return decision;
}

}  // namespace wagtailslip::rollout
