#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "request_deadlines.h"
#include "wagtailslip/deployment/node_settings.h"
#include "wagtailslip/mesh/control_discovery.h"
#include "wagtailslip/mesh/mesh_node.h"
#include "wagtailslip/mesh/target_sync.h"
#include "wagtailslip/net/asio.h"
#include "wagtailslip/net/periodic_timer.h"
#include "wagtailslip/serving/admission.h"
#include "wagtailslip/serving/caller_timeout_tracker.h"
#include "wagtailslip/serving/crash_guard.h"
#include "wagtailslip/serving/instance_table.h"
#include "wagtailslip/serving/placement.h"
#include "wagtailslip/serving/retry_pool.h"
#include "wagtailslip/serving/route_table.h"
#include "wagtailslip/serving/state_requester.h"

namespace wagtailslip::wire {
class CrashVerdicts;
class DrainedDomains;
class EndpointLimit;
class Permits;
class Retries;
class ServiceConfigBody;
class WarmupLeases;
}  // namespace wagtailslip::wire

namespace wagtailslip::ingress {

/// State of an ingress process: configuration, known endpoints, admission and retry budget. Used by
/// one thread.
class IngressNode : public mesh::MeshListener {
 public:
  IngressNode(net::asio::io_context& context, const deployment::NodeSettings& settings,
              std::int64_t incarnation);

  void Start();
  /// Tells the control processes to stop directing callers to this process.
  void StopTakingCallers(TimePoint now);
  /// Whether a request that was read at this time can end before the process exits.
  bool AcceptsRequest(TimePoint read_at) const { return read_at < accept_until_; }
  /// Time by which all requests must be answered, because the process exits; the latest time while
  /// it does not stop.
  TimePoint answer_by() const { return answer_by_; }
  /// Deadlines of the requests in progress, which the process ends when they pass.
  RequestDeadlines& deadlines() { return deadlines_; }
  void Stop();

  /// Routes of the current configuration; null until the first one arrives.
  const std::shared_ptr<const serving::RouteTable>& routes() const { return routes_; }
  /// Whether callers can be served.
  bool Ready() const { return routes_ != nullptr && !draining_; }
  bool draining() const { return draining_; }

  /// Sets the minimum versions of a model's weights that may serve a request sent now.
  void SetMinWeightsVersions(const std::string& model, serving::PlacementQuery& query,
                             TimePoint now) const;

  const serving::WeightsTargets& weights_targets() const { return target_sync_.targets(); }
  /// Time by which an endpoint with this version of the weights must have started its response;
  /// nothing if no newer version is a target.
  std::optional<TimePoint> ResponseStartDeadline(const std::string& model,
                                                 std::int64_t weights_version) const;
  /// Time since requests must not start on this version of the weights any more; negative before
  /// then, nothing if no newer version is a target.
  std::optional<Duration> TimeSinceWeightsBound(const std::string& model,
                                                std::int64_t weights_version, TimePoint now) const;

  using VerdictCallback = std::function<void(serving::AdmissionDecision)>;
  /// Submits a request for admission.
  /// @param callback gets the verdict if it is not known at once; not called after Withdraw
  /// @return the verdict; empty if the request has to wait
  serving::AdmissionDecision Offer(const serving::AdmissionRequest& applicant,
                                   VerdictCallback callback, TimePoint now);
  /// Removes a waiting request.
  void Withdraw(std::uint64_t id);
  std::uint64_t NextId() { return ++last_id_; }

  void CountRequest(const std::string& service, TimePoint now) {
    retry_pool_.OnRequest(service, now);
  }
  /// Takes one retry permit, and asks for more if they are short.
  /// @return false if there is none
  bool TakeRetry(const std::string& service, TimePoint now);
  /// Asks the allocator for a retry permit.
  /// @return whether one may come at once
  bool AskForRetryPermit(const std::string& service, TimePoint now);
  /// Whether TakeRetry would succeed now, or after a short wait.
  bool MayRetry(const std::string& service, TimePoint now) const {
    return retry_pool_.CanTake(service, now) || retry_pool_.MayComeSoon(service, now);
  }
  const serving::RetryPool& retry_pool() const { return retry_pool_; }
  /// Whether a request may be sent, judged by what ends endpoints. Asks for a trial at once where
  /// one may be granted.
  serving::CrashDecision AdmitSubjects(const std::vector<serving::CrashSubject>& subjects,
                                       TimePoint now);
  serving::CrashGuard& crash_guard() { return crash_guard_; }
  const serving::CrashGuard& crash_guard() const { return crash_guard_; }
  /// Records the time limit of a caller's request.
  /// @return the longest limit that the group gave recently, see CallerTimeoutTracker
  Duration LongestRecentTimeLeft(const std::string& group, Duration time_left, TimePoint now) {
    return caller_timeouts_.Record(group, time_left, now);
  }
  void OnLoad(const std::string& endpoint, const serving::LoadReport& report, TimePoint now) {
    placement_.OnLoadReport(endpoint, report, now);
  }
  void OnConnect(const std::string& endpoint, Duration connect_time, TimePoint now) {
    placement_.OnConnect(endpoint, connect_time, now);
  }
  /// The endpoint started its response, or the attempt ended without one; called once per attempt.
  void OnResponseStarted(const std::string& endpoint, double prompt_tokens) {
    placement_.RemovePending(endpoint, prompt_tokens);
    ScheduleVerdictDelivery();
  }
  void OnFinished(const std::string& endpoint, traffic::AttemptResult result, TimePoint now);
  /// The endpoint did not execute the request: it is full, has other weights than expected, or its
  /// address now belongs to another incarnation.
  void OnRefused(const std::string& endpoint, TimePoint now);
  /// The attempt ended for a reason that is no evidence of the endpoint's health, such as a caller
  /// that disconnected. The request no longer counts as one that this process has at the endpoint.
  void OnFinishedWithoutResult(const std::string& endpoint);
  /// A response of the endpoint announced that it is shutting down.
  void OnEndpointDraining(const serving::PlacementResult& placed, TimePoint now);
  /// A response of the endpoint asked for no further requests until `retry_after` has passed.
  void OnRetryAfter(const serving::PlacementResult& placed, Duration retry_after, TimePoint now);
  /// A response of the endpoint named a limit on the requests per second of all ingress processes.
  /// @param per_second the limit; nothing if the response named none
  /// @param sent_at when the request was sent
  void OnRequestLimit(const serving::PlacementResult& placed, std::optional<double> per_second,
                      TimePoint sent_at, TimePoint now);
  /// A response of the endpoint named a limit that cannot be read. The previous one stays in force.
  void OnUnreadableRequestLimit(const std::string& endpoint);
  /// Whether a request may still be sent on a connection that was just opened. Uses the request's
  /// permit if so.
  /// @param model model of the endpoint's engine; empty for a service without engines
  /// @param regions regions whose endpoints may serve the request
  /// @param connect_time time that opening the connection took
  bool MaySend(serving::PlacementResult& placed, const std::string& model,
               const serving::AllowedRegions& regions, Duration connect_time, TimePoint now);
  /// Puts back the permit of a request that was not sent.
  void ReturnPermit(serving::PlacementResult& placed, TimePoint now) {
    placement_.ReturnPermit(placed, now);
  }
  /// Whether less urgent requests may use the engines of a service only in part under pressure: its
  /// routes have several priorities, and each process has few engines of its own.
  bool LimitsByRank(const std::string& service) const;
  /// Requests placed and refused by rank, of the services with limits by rank.
  std::map<std::string, std::vector<serving::PriorityLimits::RankCounters>> RankCounters() const {
    return admission_.RankCounters();
  }
  /// Time to send as Retry-After when a request of the service is refused.
  Duration RetryAfter(const std::string& service, std::uint32_t rank, TimePoint deadline,
                      TimePoint now) {
    return admission_.RetryAfter(service, rank, deadline, now);
  }
  /// The same before the first configuration arrives.
  Duration RetryAfterWithoutConfig() { return admission_.RetryAfterWithoutConfig(); }
  const serving::InstanceTable& table() const { return table_; }
  const serving::Placement& placement() const { return placement_; }
  /// Cold endpoints, and why they are.
  const std::map<std::string, serving::ColdReason>& cold_endpoints() const {
    return cold_endpoints_;
  }
  std::size_t waiting() const { return admission_.waiting(); }

 private:
  void OnMemberUpdated(const mesh::Member& member, bool new_link) override;
  void OnMemberLost(const mesh::Member& member) override;
  void OnMessage(const mesh::Member& from, const wire::MeshMessage& message) override;
  /// Applies a newer configuration, and reports the current version to the control processes.
  void ApplyConfig(const wire::ServiceConfigBody& body);
  /// Sends the version of the current configuration.
  /// @param processes receivers; empty for all control processes
  void ReportConfigVersion(const std::vector<std::string>& processes);
  std::vector<std::string> ControlProcesses() const;
  /// Updates the known ingress processes and their failure domains.
  void UpdateIngressProcesses(std::map<std::string, std::string> processes, TimePoint now);
  /// Turns the limits by rank of each service on or off.
  void ApplyRankLimits();
  /// Passes the ingress processes that share the endpoints on to placement, if they have changed.
  void SelectProcesses();
  void OnMembers(const mesh::Member& from, const wire::MeshMessage& message, TimePoint now);
  /// Applies the ingress processes on the lists of the linked control processes.
  void SyncIngressProcesses(TimePoint now);
  void OnInstanceSummary(const mesh::Member& from, const wire::MeshMessage& message, TimePoint now);
  /// Asks a control process for the full state if another one knows something else.
  void AskForState(TimePoint now);
  /// Asks a control process for the endpoints that will expire soon.
  void AskForAgingEndpoints(TimePoint now);
  /// Passes changed endpoints and services on to placement.
  void SyncPlacement();
  void UpdateLinks();
  void Tick();
  /// Sends a request for permits if one is due.
  void AskForPermits(TimePoint now);
  void OnPermitGrant(const mesh::Member& from, const wire::Permits& permits, TimePoint now);
  /// Sends a request for leases on cold endpoints if one is due.
  void AskForWarmupLeases(TimePoint now);
  void OnWarmupGrant(const mesh::Member& from, const wire::WarmupLeases& leases, TimePoint now);
  /// Counts the endpoints of the own failure domain as cold after it was cut off.
  void TrackIsolation(TimePoint now);
  /// Logs which endpoints have become cold or warm.
  void LogColdEndpoints(TimePoint now);
  /// Sends a report on requests and retries if one is due.
  void ReportRetries(TimePoint now);
  void OnRetryGrant(const mesh::Member& from, const wire::Retries& retries, TimePoint now);
  /// Sends the evidence on what ends endpoints to all control processes if some is due.
  void ReportCrashes(TimePoint now);
  /// Applies newer verdicts on what ends endpoints.
  void OnVerdicts(const mesh::Member& from, const wire::CrashVerdicts& verdicts, TimePoint now);
  /// Applies a newer set of drained failure domains.
  void OnDrainedDomains(const mesh::Member& from, const wire::DrainedDomains& drained,
                        TimePoint now);
  /// Records the limits that control processes relay.
  void OnRelayedLimits(const std::vector<wire::EndpointLimit>& limits, TimePoint now);
  void RecordLimit(const serving::LimitObservation& observation, std::string_view source,
                   TimePoint now);
  /// Calls back the waiting requests that have a verdict now.
  void DeliverVerdicts(TimePoint now);
  /// Runs DeliverVerdicts from the event loop, once for all calls before it runs.
  void ScheduleVerdictDelivery();

  net::asio::io_context& context_;
  deployment::NodeSettings settings_;
  net::PeriodicTimer tick_timer_;
  std::unique_ptr<mesh::MeshNode> mesh_;
  mesh::ControlDiscovery control_discovery_;
  std::shared_ptr<const serving::RouteTable> routes_;
  serving::InstanceTable table_;
  std::uint64_t synced_revision_ = 0;
  std::int64_t synced_version_ = 0;
  serving::StateRequester state_requester_;
  /// Number of questions about endpoints that will expire soon; each goes to the next process.
  std::size_t aging_requests_ = 0;
  mesh::TargetSync target_sync_;
  serving::Placement placement_;
  serving::Admission admission_;
  serving::RetryPool retry_pool_;
  serving::CrashGuard crash_guard_;
  serving::CallerTimeoutTracker caller_timeouts_;
  RequestDeadlines deadlines_;
  std::unordered_map<std::uint64_t, VerdictCallback> verdict_callbacks_;
  /// Number of ingress processes that share the permits.
  std::size_t ingress_count_ = 1;
  /// Failure domain of each ingress process.
  std::map<std::string, std::string> ingress_domains_;
  /// Those that share the endpoints, see serving::SelectIngress.
  std::set<std::string> selected_processes_;
  /// Time when the number was last set.
  TimePoint ingress_count_updated_at_{};
  /// Control process that granted permits last; empty before the first one.
  std::string permit_allocator_;
  /// No control process has granted permits for long, which was logged.
  bool permit_allocator_lost_ = false;
  bool retry_allocator_lost_ = false;
  /// Control process that replied last to a request for leases on cold endpoints.
  std::string warmup_allocator_;
  /// Since when most control processes are not linked; unset while they are.
  std::optional<TimePoint> isolated_since_;
  /// Cold endpoints as logged last.
  std::map<std::string, serving::ColdReason> cold_endpoints_;
  TimePoint next_cold_check_{};
  std::uint64_t last_id_ = 0;
  bool draining_ = false;
  TimePoint accept_until_ = TimePoint::max();
  TimePoint answer_by_ = TimePoint::max();
  bool delivery_scheduled_ = false;
  TimePoint next_expiry_{};
};

}  // namespace wagtailslip::ingress
