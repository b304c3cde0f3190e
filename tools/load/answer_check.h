#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/token_text.h"
#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/net/http_client.h"

namespace wagtailslip::tools {

/// What may be wrong with an answer.
enum class Violation {
  kRequestId,
  kVersionMissing,
  kIncomplete,
  kWrongText,
  kMalformed,
  kDuplicate,
  kOutcome,
  kRetryAfter
};
inline constexpr EnumTable<Violation, 8> kViolations{
    {{{Violation::kRequestId, "other_request_id"},
      {Violation::kVersionMissing, "version_missing"},
      {Violation::kIncomplete, "incomplete"},
      {Violation::kWrongText, "wrong_or_mixed_version"},
      {Violation::kMalformed, "malformed"},
      {Violation::kDuplicate, "duplicate_execution"},
      {Violation::kOutcome, "wrong_outcome_header"},
      {Violation::kRetryAfter, "retry_after_missing"}}}};

/// The answer that a request must get.
struct Expectation {
  std::string request_id;
  /// Name of the model, or of the adapter without its model.
  std::string model;
  std::uint64_t max_tokens = 0;
  /// Hash of the prompt or of a call's body.
  std::string hash;
  /// Path of a lookup after `/lookup/`; empty for others.
  std::string lookup;
  /// Key of an at-most-once call; empty for others.
  std::string idempotency_key;
  /// The id in a body may differ from the request's.
  bool accept_engine_ids = false;
  /// The answer comes from an endpoint, without X-Outcome.
  bool direct = false;
};

/// Checks the header fields that depend on the status.
std::optional<Violation> CheckHeader(const Expectation& expected, const net::HttpResponse& answer);
/// Checks a whole chat completion.
std::optional<Violation> CheckChat(const Expectation& expected, const net::HttpResponse& answer);
/// Checks the answer of a service.
std::optional<Violation> CheckService(const Expectation& expected, const net::HttpResponse& answer);

/// Checks a stream of chat completion chunks piece by piece. The first fault found is kept.
class StreamCheck {
 public:
  /// @param version root digest named by the answer's header
  StreamCheck(const Expectation& expected, std::string version);

  /// @param on_token called for each token in the piece
  void Feed(std::string_view piece, const std::function<void()>& on_token);
  /// Fault of the whole stream, after its end.
  std::optional<Violation> Finish() const;

 private:
  void TakeEvent(std::string_view event, const std::function<void()>& on_token);
  void TakeData(std::string_view data, const std::function<void()>& on_token);
  void Note(Violation violation);

  const Expectation& expected_;
  std::string version_;
  std::string buffer_;
  std::optional<TokenText> text_;
  std::string id_;
  std::uint64_t tokens_ = 0;
  bool finished_ = false;
  bool done_ = false;
  std::optional<Violation> violation_;
};

}  // namespace wagtailslip::tools
