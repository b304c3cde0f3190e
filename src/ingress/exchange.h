#pragma once

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

namespace wagtailslip::ingress {

inline constexpr unsigned kFirstServerError = 500;

/// Serves one request of a caller: admission, attempts at endpoints, and the answer.
class Exchange {
 public:
  Exchange(IngressNode& node, process::Metrics& metrics, net::HttpExchange& caller);
  net::Task<void> Run();

 private:
  /// What waits for the caller's going away, and is woken by it.
  struct Presence {
    bool gone = false;
    net::asio::steady_timer* timer = nullptr;
    net::HttpConnection* upstream = nullptr;
  };
  /// The next bytes of an endpoint's answer; without bytes it has ended or failed.
  struct Piece {
    std::optional<std::string> bytes;
    bool failed = false;
    bool timed_out = false;
  };
  /// A whole answer of an endpoint that is kept in case no other attempt does better.
  struct KeptAnswer {
    unsigned status = 0;
    std::string header_lines;
    std::string body;
  };

  /// Finds route and account; answers the caller if it cannot.
  net::Task<bool> Resolve();
  net::Task<serving::Verdict> Place();
  net::Task<serving::AttemptOutcome> Attempt(serving::PlacementResult placed);
  net::Task<serving::AttemptOutcome> Send(net::HttpConnection& upstream,
                                          const serving::PlacementResult& placed);
  net::Task<Piece> ReadPiece(net::HttpConnection& upstream);
  net::Task<serving::AttemptOutcome> ReadWhole(net::HttpConnection& upstream,
                                               const net::HttpResponse& response,
                                               const platform::EndpointResponse& answer);
  net::Task<serving::AttemptOutcome> RelayStream(net::HttpConnection& upstream,
                                                 const net::HttpResponse& response,
                                                 const platform::EndpointResponse& answer);
  /// Passes events on.
  /// @return false if an event is missing
  net::Task<bool> RelayEvents(const std::vector<serving::StreamEvent>& events,
                              const std::string& header_lines);
  /// Notes that the answer has begun, or that the attempt has ended without one.
  void NoteBegun(const std::string& endpoint);
  void Settle(const serving::PlacementResult& placed, serving::AttemptOutcome outcome);
  /// Ends the exchange as DecideNext said.
  net::Task<void> Finish(serving::NextStep step, serving::AttemptOutcome last);
  /// Answers with the failure that an endpoint gave.
  net::Task<void> PassFailure();
  net::Task<void> Refuse(std::string_view reason, Duration retry_after);
  net::Task<void> Answer(unsigned status, std::string_view reason,
                         std::optional<Duration> retry_after = std::nullopt);
  /// Empty without an account.
  std::string AccountName() const;
  std::uint32_t Priority() const;
  Duration Objective() const;
  Duration TimeLeft() const;
  /// Time from the request to the first event; -1 if there was none.
  double FirstEventMs() const;
  Duration AnswerPatience() const;
  /// The endpoint's weights were overtaken, and it has not begun to answer.
  bool Overtaken() const;
  serving::AttemptOutcome OutcomeOfError(bool timed_out, bool started) const;

  IngressNode& node_;
  process::Metrics& metrics_;
  net::HttpExchange& caller_;
  platform::CallerRequest request_;
  TimePoint received_;
  std::shared_ptr<const serving::RouteTable> routes_;
  const serving::Route* route_ = nullptr;
  const serving::Account* account_ = nullptr;
  std::string service_;
  const serving::EngineProfile* engine_ = nullptr;
  TimePoint deadline_{};
  /// The caller comes back after a refusal, too late for the objective.
  bool late_ = false;
  std::shared_ptr<Presence> presence_;
  serving::AttemptHistory history_;
  std::vector<std::string> tried_;
  std::optional<KeptAnswer> failure_;
  serving::EventSplitter splitter_;
  /// Last event that the caller has; set with the first one.
  std::optional<std::int64_t> last_event_;
  /// Weights that made the events so far.
  std::int64_t stream_weights_ = 0;
  TimePoint first_event_at_{};
  TimePoint last_event_at_{};
  Duration longest_pause_{};
  unsigned last_status_ = 0;
  /// The attempt in progress has not begun to answer.
  bool begin_pending_ = false;
  std::string current_endpoint_;
  /// When the answer of the attempt in progress must have begun.
  std::optional<TimePoint> latest_begin_;
};

}  // namespace wagtailslip::ingress
