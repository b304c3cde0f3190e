#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <string>

#include "ingress_node.h"
#include "platform/request_headers.h"
#include "wagtailslip/net/http_client.h"
#include "wagtailslip/net/http_server.h"
#include "wagtailslip/process/metrics.h"
#include "wagtailslip/serving/attempt_policy.h"
#include "wagtailslip/serving/event_stream.h"
#include "wagtailslip/serving/request_key.h"
#include "wagtailslip/serving/stream_progress.h"

namespace wagtailslip::ingress {

inline constexpr unsigned kMinServerErrorStatus = 500;
/// An engine that sends nothing, or no new event, for this long is treated as unresponsive. Callers
/// give up after about twice this time.
inline constexpr Duration kStreamReadTimeout = std::chrono::milliseconds(1800);

/// Proxies one caller request: admission, attempts at endpoints, and the response to the caller.
class Exchange {
 public:
  Exchange(IngressNode& node, process::Metrics& metrics, net::HttpExchange& caller);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;
  net::Task<void> Run();

 private:
  /// State shared with the handlers of the caller's disconnection and of the deadline, which end
  /// what the request waits for.
  struct CallerState {
    bool disconnected = false;
    bool deadline_passed = false;
    net::asio::steady_timer* timer = nullptr;
    net::HttpConnection* upstream = nullptr;
    /// The caller's connection while an event is written to it.
    net::HttpExchange* stream_write = nullptr;

    void EndWaits();
  };
  /// Next bytes of an endpoint's response body; without bytes the body has ended or the read
  /// failed.
  struct ReadResult {
    std::optional<std::string> bytes;
    bool failed = false;
    bool timed_out = false;
  };
  /// Complete error response of an endpoint, relayed if no later attempt succeeds.
  struct BufferedResponse {
    unsigned status = 0;
    std::string header_lines;
    std::string body;
  };

  /// Finds the route and the account of the request.
  /// @return false if there is none; the caller has been sent an error response then
  net::Task<bool> ResolveRoute();
  /// Submits the request for admission and waits for the verdict.
  /// @return nothing if the caller disconnected meanwhile
  net::Task<serving::AdmissionDecision> WaitForEndpoint();
  /// @param placed its permit is used if the request is sent
  net::Task<serving::AttemptOutcome> Attempt(serving::PlacementResult& placed);
  net::Task<serving::AttemptOutcome> Send(net::HttpConnection& upstream,
                                          const serving::PlacementResult& placed);
  /// What of the request may end endpoints. Without the request itself where nothing is known of
  /// it, unless an attempt is to be recorded as evidence.
  std::vector<serving::CrashSubject> Subjects(bool for_evidence = false);
  /// Judges the request by its subjects, and waits for a trial that may be granted soon.
  /// @return false if it may not be sent; the caller has been sent an error response or has left
  net::Task<bool> AdmitSubjects();
  /// Responds that endpoints end under a subject. Final: the request is the caller's to change.
  net::Task<void> RejectSubject(serving::CrashSubject subject);
  /// Responds that the subject is tried by other requests.
  net::Task<void> RefuseSuspect(serving::CrashSubject subject, Duration retry_after);
  /// Ends a request that may not be sent any more because of a subject.
  net::Task<void> FinishBlocked(serving::CrashSubject subject, serving::AttemptOutcome last);
  /// Records the attempt as evidence on its subjects, and finds out whether its endpoint ended.
  net::Task<void> RecordCrashEvidence(serving::PlacementResult placed,
                                      serving::AttemptOutcome outcome);
  /// Whether the request may be sent again as far as its subjects are concerned.
  bool SubjectsAllowRepeat();
  /// Waits for a retry permit if none is held and one may come at once.
  net::Task<void> WaitForRetryPermit();
  /// Records what a response reports about the endpoint itself: shutdown, pause and load.
  void RecordEndpointState(const serving::PlacementResult& placed,
                           const platform::EndpointResponse& response);
  /// Records the limit that a response names, or that it names none any more.
  void RecordRequestLimit(const serving::PlacementResult& placed,
                          const platform::EndpointResponse& response, TimePoint sent_at);
  net::Task<ReadResult> ReadBodyPart(net::HttpConnection& upstream);
  net::Task<serving::AttemptOutcome> ReadFullResponse(net::HttpConnection& upstream,
                                                      const net::HttpResponse& response,
                                                      const platform::EndpointResponse& decoded);
  net::Task<serving::AttemptOutcome> RelayStream(net::HttpConnection& upstream,
                                                 const net::HttpResponse& response,
                                                 const platform::EndpointResponse& decoded,
                                                 const serving::PlacementResult& placed);
  /// Writes a part of the stream to the caller, until the deadline at most: a caller that does not
  /// read would hold the endpoint.
  net::Task<void> WriteStream(net::Task<void> write);
  /// Relays the events that the caller does not have yet, up to the first gap.
  /// @return false if the event ids have a gap
  net::Task<bool> RelayEvents(const std::vector<serving::StreamEvent>& events,
                              const std::string& header_lines);
  /// Records once per attempt that the endpoint has generated the first events.
  void MarkBegun();
  /// Records that the response of the attempt is whole.
  void RecordDelivery();
  /// Records the version of the weights on which the response of the attempt has begun.
  void RecordAnswerVersion(const serving::PlacementResult& placed, std::int64_t version);
  /// Reports once per attempt that the response has started, or that the attempt ended without one.
  void ClearResponsePending(const std::string& endpoint);
  /// Reports the outcome of an attempt to endpoint selection.
  void ReportOutcome(const serving::PlacementResult& placed, serving::AttemptOutcome outcome);
  /// Sends the final response, or cuts the stream, as DecideNextStep chose.
  net::Task<void> Finish(serving::NextStep step, serving::AttemptOutcome last);
  /// Writes the log line of an attempt.
  /// @param started time when the endpoint was chosen
  /// @param asked_for_retry whether the retry budget was asked for another send
  void LogAttempt(const serving::PlacementResult& placed, serving::AttemptOutcome outcome,
                  serving::NextStep next, bool asked_for_retry, TimePoint started, TimePoint now);
  /// Relays the buffered error response of an endpoint.
  net::Task<void> RelayErrorResponse();
  /// Responds 503 with Retry-After.
  net::Task<void> Refuse(std::string_view reason, Duration retry_after);
  /// Sends a response of the ingress process itself, and logs it.
  net::Task<void> Respond(unsigned status, std::string_view reason,
                          std::optional<Duration> retry_after = std::nullopt);
  /// Name of the client account; empty on routes that need none.
  std::string AccountName() const;
  /// Rank of the request's priority among those of its service.
  std::uint32_t PriorityRank() const;
  /// Priority that is sent to the endpoint.
  std::uint32_t EnginePriority() const;
  /// Regions whose endpoints may serve the request now.
  serving::AllowedRegions AllowedRegions() const {
    return node_.routes()->AllowedRegionsFor(region_scope_);
  }
  serving::RequestIdentity Identity() const;
  const std::string& RequestKey();
  Duration LatencyObjective() const;
  Duration TimeLeft() const;
  /// The request's deadline, or the earlier time by which a stopping process answers.
  TimePoint AnswerBy() const { return std::min(deadline_, node_.answer_by()); }
  /// Time from the arrival of the request to the first event; -1 if there was none.
  double FirstEventMs() const;
  /// Whether giving up on an unresponsive endpoint helps, as another attempt is possible.
  bool MayTryAnother() const;
  /// Longest wait for the next bytes of the endpoint's response.
  Duration ReadTimeout() const;
  /// Whether the response has not started and the endpoint's weights are outdated by now.
  bool ResponseStartDeadlinePassed() const;
  serving::AttemptOutcome OutcomeOfError(bool timed_out, bool response_started) const;

  IngressNode& node_;
  process::Metrics& metrics_;
  net::HttpExchange& caller_;
  platform::CallerRequest request_;
  TimePoint received_at_;
  std::shared_ptr<const serving::RouteTable> routes_;
  const serving::Route* route_ = nullptr;
  const serving::Account* account_ = nullptr;
  /// Regions by the configuration at the arrival of the request, and what they follow from.
  serving::RegionScope region_scope_;
  std::string service_;
  const serving::EngineProfile* engine_ = nullptr;
  TimePoint deadline_{};
  std::optional<RequestDeadlines::Key> deadline_key_;
  /// The caller retries after a refusal, and the latency objective is missed already.
  bool objective_missed_ = false;
  std::shared_ptr<CallerState> caller_state_;
  serving::AttemptHistory history_;
  std::vector<std::string> tried_endpoints_;
  std::optional<BufferedResponse> error_response_;
  serving::EventSplitter event_splitter_;
  serving::StreamProgress progress_;
  /// Id of the last event relayed to the caller; empty before the first one.
  std::optional<std::int64_t> last_event_id_;
  /// Version of the weights that generated the stream; 0 if unknown.
  std::int64_t stream_version_ = 0;
  TimePoint first_event_at_{};
  TimePoint last_event_at_{};
  Duration max_event_gap_{};
  unsigned last_status_ = 0;
  /// Request limit that the last response named.
  std::optional<double> last_request_limit_;
  /// New events of the current attempt.
  std::uint64_t attempt_events_ = 0;
  bool attempt_begun_ = false;
  /// The current attempt goes on with a stream that another one began.
  bool attempt_resumes_ = false;
  /// The request was sent in the current attempt.
  bool attempt_sent_ = false;
  /// Suspect subjects that this request tries.
  std::vector<serving::CrashSubject> trials_;
  /// See serving::RequestPrehash and serving::RequestKey; unset until they are needed.
  std::optional<std::uint64_t> request_prehash_;
  std::string request_key_;
  /// The endpoint of the current attempt has not started its response.
  bool response_pending_ = false;
  std::string current_endpoint_;
  /// Version of the weights that the endpoint of the current attempt named; 0 if none.
  std::int64_t answered_version_ = 0;
  /// Time by which the response of the current attempt must have started.
  std::optional<TimePoint> response_start_deadline_;
};

}  // namespace wagtailslip::ingress
