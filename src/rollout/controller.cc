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

/// An endpoint that serves the model, with its state in this rollout.
struct Member {
  const std::string* id = nullptr;
  const Endpoint* endpoint = nullptr;
  /// Null if there is no report within the report timeout.
  const Progress* progress = nullptr;
  const Assignment* assignment = nullptr;
  bool assigned_target = false;
  bool failed = false;
  bool at_target = false;
  bool serving = false;
  RoutingDecision route;

  /// Whether the endpoint serves the target but is assigned another version, which it may be about
  /// to load.
  bool AssignedElsewhere() const { return at_target && !assigned_target && assignment != nullptr; }
};

const Assignment* FindAssignment(const VersionHistory& history, const std::string& id) {
  const auto it = history.assignments.find(id);
  return it == history.assignments.end() ? nullptr : &it->second;
}

bool Serves(const Progress* progress, const Digest& root) {
  return progress != nullptr && progress->state != ReplicaState::kExcluded &&
         progress->served_root == root;
}

/// Whether an endpoint may serve a root now. Any root is allowed while no version is recorded.
bool MayServe(const VersionHistory& history, const Assignment* assignment, const Digest& root) {
  if (assignment != nullptr) {
    return root == assignment->artifact.root ||
           (!assignment->swapped && root == assignment->previous);
  }
  if (history.permitted_roots.empty() && !history.last_good) return true;
  return (history.last_good && root == history.last_good->root) ||
         std::find(history.permitted_roots.begin(), history.permitted_roots.end(), root) !=
             history.permitted_roots.end();
}

/// Engines of one model that are present, ordered by id.
using Engines = std::vector<const Endpoint*>;

/// Makes the decisions for one model or adapter.
class ArtifactController {
 public:
  ArtifactController(const config::State& state, const std::string& key,
                     const VersionHistory& history, const Rollout& rollout, std::uint64_t term,
                     Decision& out)
      : state_(state), key_(key), history_(history), rollout_(rollout), term_(term), out_(out) {
    running_ = config::IsActive(rollout);
    rolling_back_ = config::IsRollingBack(rollout);
    if (running_ && !rolling_back_) {
      target_ = config::ArtifactOf(rollout);
    } else {
      target_ = history.last_good;
    }
  }

  using ArtifactReports = std::map<std::string, Progress>;

  /// @param base_reports reports for the base model of an adapter; null for a model
  void Run(const Engines& engines, const ArtifactReports* reports,
           const ArtifactReports* base_reports, TimePoint now, Duration timeout) {
    CollectMembers(engines, reports, base_reports, now, timeout);
    for (const auto& member : members_) AddExclusion(member);
    if (!target_) {
      if (rolling_back_) Propose("returned", {}, rollout_.reason + "; there is no earlier version");
      return;
    }
    if (running_) Advance();
    out_.orders.reserve(out_.orders.size() + members_.size());
    for (const auto& member : members_) AddOrder(member);
  }

 private:
  void CollectMembers(const Engines& engines, const ArtifactReports* reports,
                      const ArtifactReports* base_reports, TimePoint now, Duration timeout) {
    const auto& failed = rolling_back_ ? rollout_.rollback_failed : rollout_.failed;
    const std::set<std::string> failed_ids(failed.begin(), failed.end());
    members_.reserve(engines.size());
    // Engines and reports are both sorted by endpoint id, so a single merge pass matches them.
    ArtifactReports::const_iterator report;
    if (reports != nullptr) report = reports->begin();
    for (const Endpoint* entry : engines) {
      const Endpoint& endpoint = *entry;
      const std::string& id = endpoint.info.endpoint_id;
      if (!history_.adapter.empty() && !ServesBaseModel(base_reports, id)) continue;
      Member member{.id = &id, .endpoint = &endpoint};
      if (reports != nullptr) {
        while (report != reports->end() && report->first < id) ++report;
        if (report != reports->end() && report->first == id &&
            report->second.incarnation == endpoint.info.incarnation &&
            now - report->second.received_at <= timeout) {
          member.progress = &report->second;
        }
      }
      member.assignment = FindAssignment(history_, id);
      member.assigned_target = target_ && member.assignment != nullptr &&
                               member.assignment->artifact.rollout_id == target_->rollout_id;
      member.failed = failed_ids.contains(id);
      const bool reloading =
          member.progress != nullptr && (member.progress->state == ReplicaState::kDraining ||
                                         member.progress->state == ReplicaState::kLoading ||
                                         member.progress->state == ReplicaState::kChecking);
      member.at_target = target_ && !reloading && Serves(member.progress, target_->root);
      member.route = DecideRouting(history_, endpoint, member.progress);
      member.serving = !reloading && member.route.allowed;
      members_.push_back(member);
    }
  }

  /// Whether an endpoint serves the last good version of the adapter's base model.
  bool ServesBaseModel(const ArtifactReports* base_reports, const std::string& id) const {
    const auto base = state_.version_histories.find(history_.model);
    if (base_reports == nullptr || base == state_.version_histories.end() ||
        !base->second.last_good) {
      return false;
    }
    const auto it = base_reports->find(id);
    return it != base_reports->end() && Serves(&it->second, base->second.last_good->root);
  }

  void AddExclusion(const Member& member) {
    if (!member.route.allowed) out_.excluded.push_back({*member.id, key_, member.route.reason});
  }

  void Propose(const std::string& event, std::vector<std::string> endpoints,
               std::string reason = {}) {
    out_.records.emplace_back(AdvanceRollout{rollout_.id, event, std::move(endpoints),
                                             std::move(reason), rollout_.batches + 1,
                                             rolling_back_});
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
        if (member.assigned_target && !member.assignment->swapped) done.push_back(*member.id);
        if (member.AssignedElsewhere()) ++unfinished;
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
      if (member.assigned_target) ++status.swapping;
    }
    if (rollout_.state == "pending") Propose("start", {});
    if (!done.empty()) Propose("swapped", done);
    if (!failed.empty()) Propose("fail", failed, failed.front() + ": " + error);
    if (!rolling_back_ && rollout_.failed.size() + failed.size() >= rollout_.spec.failure_limit) {
      Propose("halt", {},
              std::to_string(rollout_.failed.size() + failed.size()) +
                  " replicas failed, the limit is " + std::to_string(rollout_.spec.failure_limit) +
                  "; last: " + (failed.empty() ? rollout_.reason : failed.front() + ": " + error));
    } else if (rollout_.state == "distributing" || rollout_.state == "swapping" || rolling_back_) {
      if (unfinished == 0 && (rolling_back_ || status.serving_target > 0)) {
        Propose(rolling_back_ ? "returned" : "complete", {});
      } else {
        OpenBatch(status);
      }
    } else {
      status.wait_reason = rollout_.state;
    }
    out_.status.push_back(std::move(status));
  }

  /// Selects the endpoints that may swap next. A serving endpoint is selected only if the remaining
  /// ones still meet the minimum; one that does not serve reduces no capacity. The last serving
  /// replica of a failure domain waits while another replica of that domain swaps.
  void OpenBatch(RolloutStatus& status) {
    std::map<std::string, std::size_t> domain_serving;
    std::map<std::string, std::size_t> domain_swapping;
    std::map<std::string, std::vector<const Member*>> candidates;
    std::size_t fetching = 0;
    for (const auto& member : members_) {
      const std::string& domain = member.endpoint->info.failure_domain;
      if (member.serving) ++domain_serving[domain];
      if (member.assigned_target && !member.at_target && !member.failed &&
          member.progress != nullptr) {
        ++domain_swapping[domain];
      }
      if (member.assigned_target || member.failed || member.progress == nullptr) continue;
      if (member.at_target && !member.AssignedElsewhere()) continue;
      if (!member.at_target &&
          (!member.progress->Verified() || member.progress->target_root != target_->root)) {
        ++fetching;
        continue;
      }
      candidates[domain].push_back(&member);
    }
    for (auto& [domain, list] : candidates) {
      // Endpoints that do not serve go first: swapping them adds capacity and removes none.
      std::stable_partition(list.begin(), list.end(), [](const auto* m) { return !m->serving; });
    }
    std::vector<std::string> batch;
    std::size_t serving = status.serving;
    std::size_t swapping = status.swapping;
    bool blocked_by_minimum = false;
    while (swapping < rollout_.spec.batch_size) {
      const Member* next = nullptr;
      std::size_t fewest = 0;
      for (auto& [domain, list] : candidates) {
        if (list.empty()) continue;
        const Member* first = list.front();
        if (first->serving && (serving <= rollout_.spec.minimum_serving ||
                               (domain_serving[domain] <= 1 && domain_swapping[domain] > 0))) {
          blocked_by_minimum = true;
          continue;
        }
        if (next == nullptr || domain_swapping[domain] < fewest) {
          next = first;
          fewest = domain_swapping[domain];
        }
      }
      if (next == nullptr) break;
      const std::string& domain = next->endpoint->info.failure_domain;
      if (next->serving) {
        --serving;
        --domain_serving[domain];
      }
      WTS_INVARIANT(!next->serving || serving >= rollout_.spec.minimum_serving);
      ++domain_swapping[domain];
      ++swapping;
      batch.push_back(*next->id);
      candidates[domain].erase(candidates[domain].begin());
    }
    if (!batch.empty()) {
      Propose("open", std::move(batch));
    } else if (swapping >= rollout_.spec.batch_size) {
      status.wait_reason = "a batch is swapping";
    } else if (blocked_by_minimum) {
      status.wait_reason = "only " + std::to_string(serving) + " replicas serve, the minimum is " +
                           std::to_string(rollout_.spec.minimum_serving);
    } else if (fetching > 0) {
      status.wait_reason = std::to_string(fetching) + " endpoints are fetching chunks";
    }
  }

  void AddOrder(const Member& member) {
    if (member.progress == nullptr) return;
    const bool assigned_target = running_ && member.assigned_target;
    Order order;
    order.endpoint_id = *member.id;
    order.incarnation = member.endpoint->info.incarnation;
    order.model = history_.model;
    order.adapter = history_.adapter;
    order.artifact = *target_;
    // The assignment may be from an earlier rollout that was rolled back to the same version.
    config::Revision revision = rollout_.state_revision;
    if (member.assignment != nullptr) revision = std::max(revision, member.assignment->revision);
    if (!running_) {
      // No rollout is active: every endpoint is to serve the last good version.
      order.kind = OrderKind::kSwap;
      revision = std::max(revision, history_.last_good_revision);
    } else if (assigned_target) {
      order.kind = OrderKind::kSwap;
    } else if (rollout_.state == "paused") {
      return;
    }
    order.token = {term_, std::max(revision, member.endpoint->joined)};
    out_.orders.push_back(std::move(order));
  }

  const config::State& state_;
  const std::string& key_;
  const VersionHistory& history_;
  const Rollout& rollout_;
  std::uint64_t term_;
  Decision& out_;
  bool running_ = false;
  bool rolling_back_ = false;
  std::optional<Artifact> target_;
  std::vector<Member> members_;
};

}  // namespace

RoutingDecision DecideRouting(const config::VersionHistory& history,
                              const config::Endpoint& endpoint, const Progress* progress) {
  if (!endpoint.present) return {false, "left"};
  if (endpoint.draining) return {false, "drained by an operator"};
  if (progress == nullptr || progress->served_root == Digest{}) return {false, "serves nothing"};
  if (progress->state == ReplicaState::kExcluded) return {false, "excluded by its agent"};
  const Assignment* assignment = FindAssignment(history, endpoint.info.endpoint_id);
  if (!MayServe(history, assignment, progress->served_root)) {
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
  for (const auto& [key, history] : state.version_histories) {
    const auto it = reports.find(key);
    const auto base = history.adapter.empty() ? reports.end() : reports.find(history.model);
    ArtifactController(state, key, history, state.rollouts.at(history.rollout_id), term, decision)
        .Run(engines[history.model], it == reports.end() ? nullptr : &it->second,
             base == reports.end() ? nullptr : &base->second, now, options_.report_timeout);
  }
  return decision;
}

}  // namespace wagtailslip::rollout
