#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "wagtailslip/deployment/node_settings.h"
#include "wagtailslip/mesh/control_discovery.h"
#include "wagtailslip/mesh/mesh_node.h"
#include "wagtailslip/net/asio.h"
#include "wagtailslip/net/periodic_timer.h"
#include "wagtailslip/serving/admission.h"
#include "wagtailslip/serving/caller_timeout_tracker.h"
#include "wagtailslip/serving/instance_table.h"
#include "wagtailslip/serving/placement.h"
#include "wagtailslip/serving/repeat_budget.h"
#include "wagtailslip/serving/route_table.h"
#include "wagtailslip/serving/weights_targets.h"

namespace wagtailslip::wire {
class ServiceConfigBody;
}

namespace wagtailslip::ingress {

/// What an ingress process knows, and the decisions about its requests. Runs on one thread.
class IngressNode : public mesh::MeshListener {
 public:
  IngressNode(net::asio::io_context& context, const deployment::NodeSettings& settings,
              std::int64_t incarnation);

  void Start();
  /// Tells the control processes that no more callers should come here.
  void StopTakingCallers();
  void Stop();

  /// The configuration in force; null before the first.
  const std::shared_ptr<const serving::RouteTable>& routes() const { return routes_; }
  /// Whether callers can be served.
  bool Ready() const { return routes_ != nullptr && !leaving_; }
  bool leaving() const { return leaving_; }

  /// Sets the oldest versions of a model's weights that a request may be sent to now.
  void SetLeastWeights(const std::string& model, serving::PlacementQuery& query,
                       TimePoint now) const;

  /// When an answer of an endpoint with these weights must have begun; nothing if they are not
  /// overtaken.
  std::optional<TimePoint> LatestBegin(const std::string& model, std::int64_t weights) const;

  using OnVerdict = std::function<void(serving::Verdict)>;
  /// Offers a request; a verdict that is not known at once is delivered later.
  serving::Verdict Offer(const serving::Applicant& applicant, OnVerdict later, TimePoint now);
  void Withdraw(std::uint64_t id);
  std::uint64_t NextId() { return ++last_id_; }

  void CountRequest(const std::string& service, TimePoint now) { budget_.OnRequest(service, now); }
  bool TakeRepeat(const std::string& service, TimePoint now) {
    return budget_.Take(service, processes_, now);
  }
  /// Whether TakeRepeat would be granted now.
  bool MayRepeat(const std::string& service, TimePoint now) {
    return budget_.HasRoom(service, processes_, now);
  }
  /// Notes the time that a caller gives; see CallerTimeoutTracker.
  Duration UsualTime(const std::string& group, Duration time_left, TimePoint now) {
    return usual_deadline_.Record(group, time_left, now);
  }
  void OnLoad(const std::string& endpoint, std::uint32_t running, std::uint32_t waiting,
              TimePoint now) {
    placement_.OnLoadReport(endpoint, running, waiting, now);
  }
  void OnConnect(const std::string& endpoint, Duration took, TimePoint now) {
    placement_.OnConnect(endpoint, took, now);
  }
  void OnBegun(const std::string& endpoint, double prompt_tokens) {
    placement_.RemovePending(endpoint, prompt_tokens);
    SchedulePump();
  }
  void OnFinished(const std::string& endpoint, traffic::AttemptResult result, TimePoint now);
  /// The endpoint did not run the request: it is full, has other weights than expected, or another
  /// incarnation has its address.
  void OnRefused(const std::string& endpoint, TimePoint now);
  void OnReleased(const std::string& endpoint);
  /// An answer of the endpoint said that it leaves.
  void OnLeaving(const std::string& endpoint, TimePoint now);
  /// The endpoint wants no requests for a while.
  void OnPause(const std::string& endpoint, Duration pause, TimePoint now);
  /// Whether a request may be sent on a connection that has just been opened.
  /// @param model of the endpoint's engine; empty for any other service
  /// @param connect time that the connection took
  bool MaySend(const serving::PlacementResult& placed, const std::string& model, Duration connect,
               TimePoint now) const;
  Duration RetryAfter(const std::string& service, TimePoint now) {
    return admission_.RetryAfter(service, now);
  }
  Duration RetryAfterWithoutConfig() { return admission_.RetryAfterWithoutConfig(); }
  const serving::InstanceTable& table() const { return table_; }
  const serving::Placement& placement() const { return placement_; }
  std::size_t waiting() const { return admission_.waiting(); }

 private:
  void OnMemberUpdated(const mesh::Member& member) override;
  void OnMemberLost(const mesh::Member& member) override;
  void OnMessage(const mesh::Member& from, const wire::MeshMessage& message) override;
  void TakeConfig(const wire::ServiceConfigBody& body);
  /// @param processes receivers; empty for all control processes
  void ReportVersion(const std::vector<std::string>& processes);
  std::vector<std::string> ControlProcesses() const;
  void NoteIngress(std::map<std::string, std::string> processes, TimePoint now);
  void Sync();
  void UpdateLinks();
  void Tick();
  void Pump(TimePoint now);
  void SchedulePump();

  net::asio::io_context& context_;
  deployment::NodeSettings settings_;
  net::PeriodicTimer ticks_;
  std::unique_ptr<mesh::MeshNode> mesh_;
  mesh::ControlDiscovery known_;
  std::shared_ptr<const serving::RouteTable> routes_;
  serving::InstanceTable table_;
  std::uint64_t synced_revision_ = 0;
  std::int64_t synced_version_ = 0;
  serving::WeightsTargets targets_;
  serving::Placement placement_;
  serving::Admission admission_;
  serving::RepeatBudget budget_;
  serving::CallerTimeoutTracker usual_deadline_;
  std::unordered_map<std::uint64_t, OnVerdict> waiting_;
  /// Ingress processes that share the budget of repeats, and when their number last grew.
  std::size_t processes_ = 1;
  /// Failure domains of the ingress processes that share the endpoints.
  std::map<std::string, std::string> ingress_domains_;
  TimePoint processes_at_{};
  std::uint64_t last_id_ = 0;
  bool leaving_ = false;
  bool pump_scheduled_ = false;
  TimePoint expire_at_{};
};

}  // namespace wagtailslip::ingress
