#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "wagtailslip/base/error.h"
#include "wagtailslip/traffic/answer_check.h"

namespace {

using namespace wagtailslip::traffic;

struct Outcome {
  AnswerVerdict verdict;
  std::uint64_t next_token;
  std::string forward;
  bool operator==(const Outcome&) const = default;
};

Outcome Run(AnswerFraming framing, std::string_view body, std::size_t piece) {
  AnswerCheck check("r");
  check.OnHeader({.request_id = "r", .framing = framing, .content_length = 8});
  Outcome outcome;
  std::uint64_t token = 0;
  while (!body.empty()) {
    const std::size_t n = std::min(piece, body.size());
    check.OnPiece(body.substr(0, n), outcome.forward);
    body.remove_prefix(n);
    WTS_INVARIANT(check.next_token() >= token);
    token = check.next_token();
  }
  check.OnEnd();
  outcome.verdict = check.verdict();
  outcome.next_token = token;
  return outcome;
}

}  // namespace

/// Answers of endpoints. The first byte gives the framing and the size of the pieces. How an event
/// stream is cut into pieces must not change what is passed on, and the token offset never goes
/// back.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  const std::string_view body(reinterpret_cast<const char*>(data) + 1, size - 1);
  const auto framing = static_cast<AnswerFraming>(data[0] % 3);
  const std::size_t piece = 1 + data[0] / 3;
  const Outcome whole = Run(framing, body, std::max<std::size_t>(1, body.size()));
  const Outcome pieces = Run(framing, body, piece);
  WTS_INVARIANT(framing != AnswerFraming::kEventStream || whole == pieces);
  WTS_INVARIANT(whole.verdict == pieces.verdict);
  return 0;
}
