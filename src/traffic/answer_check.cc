#include "wagtailslip/traffic/answer_check.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

#include "wagtailslip/base/error.h"

namespace wagtailslip::traffic {
namespace {

constexpr std::string_view kEndMarker = "[DONE]";

/// Length of the first event in a buffer, with its blank line; 0 if it is not whole.
/// @param from position before which no blank line ends
std::size_t EventLength(std::string_view buffer, std::size_t from) {
  std::size_t line = from;
  while (true) {
    const std::size_t end = buffer.find('\n', line);
    if (end == std::string_view::npos) return 0;
    const std::string_view rest = buffer.substr(end + 1);
    if (rest.starts_with('\n')) return end + 2;
    if (rest.starts_with("\r\n")) return end + 3;
    line = end + 1;
  }
}

/// Value of a field line "name: value"; nothing if the line is another field.
std::optional<std::string_view> Field(std::string_view line, std::string_view name) {
  if (!line.starts_with(name) || line.size() <= name.size() || line[name.size()] != ':') {
    return std::nullopt;
  }
  line.remove_prefix(name.size() + 1);
  if (line.starts_with(' ')) line.remove_prefix(1);
  return line;
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace

AnswerCheck::AnswerCheck(std::string request_id, std::optional<Digest> version)
    : request_id_(std::move(request_id)), version_(version ? version->Hex() : std::string()) {}

AnswerVerdict AnswerCheck::OnHeader(const AnswerHeader& header) {
  if (verdict_ != AnswerVerdict::kPending) return verdict_;
  if (header_seen_) return Set(AnswerVerdict::kMalformed);
  header_seen_ = true;
  if (header.request_id.empty()) return Set(AnswerVerdict::kMissingIdentity);
  if (header.request_id != request_id_) return Set(AnswerVerdict::kWrongRequest);
  if (!version_.empty() && header.version.empty()) return Set(AnswerVerdict::kMissingIdentity);
  if (!version_.empty() && header.version != version_) return Set(AnswerVerdict::kWrongVersion);
  if (counters_.resumes > 0 && header.framing != framing_) return Set(AnswerVerdict::kMalformed);
  framing_ = header.framing;
  expected_bytes_ = header.content_length;
  return verdict_;
}

AnswerVerdict AnswerCheck::OnPiece(std::string_view piece, std::string& forward) {
  if (verdict_ != AnswerVerdict::kPending) {
    // Bytes after the end marker belong to no event of this answer.
    if (verdict_ == AnswerVerdict::kComplete && !piece.empty()) Set(AnswerVerdict::kTooLong);
    return verdict_;
  }
  if (!header_seen_) return Set(AnswerVerdict::kMalformed);
  counters_.bytes += piece.size();
  if (framing_ == AnswerFraming::kEventStream) return FeedEvents(piece, forward);
  body_bytes_ += piece.size();
  if (framing_ == AnswerFraming::kContentLength && body_bytes_ > expected_bytes_) {
    return Set(AnswerVerdict::kTooLong);
  }
  forward.append(piece);
  return verdict_;
}

AnswerVerdict AnswerCheck::FeedEvents(std::string_view piece, std::string& forward) {
  // A blank line may straddle two pieces, so the search starts up to three bytes earlier.
  std::size_t from = partial_.size() - std::min<std::size_t>(3, partial_.size());
  partial_.append(piece);
  std::size_t done = 0;
  while (const std::size_t end = EventLength(partial_, from)) {
    const std::string_view event = std::string_view(partial_).substr(done, end - done);
    if (end_seen_ || OnEvent(event) != AnswerVerdict::kPending) {
      if (end_seen_) Set(AnswerVerdict::kTooLong);
      break;
    }
    forward.append(event);
    done = from = end;
  }
  partial_.erase(0, done);
  if (verdict_ == AnswerVerdict::kPending && partial_.size() > kEventLimit) {
    return Set(AnswerVerdict::kTooLong);
  }
  return verdict_;
}

AnswerVerdict AnswerCheck::OnEvent(std::string_view event) {
  ++counters_.events;
  std::optional<std::string_view> offset;
  std::optional<std::string_view> data;
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end + 1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (const auto value = Field(line, "id")) offset = value;
    if (const auto value = Field(line, "data")) data = value;
  }
  if (!data) return verdict_;  // a comment or a retry field
  if (*data == kEndMarker) {
    end_seen_ = true;
    return verdict_;
  }
  if (offset) return OnOffset(*offset);
  return has_offsets_ ? Set(AnswerVerdict::kMalformed) : verdict_;
}

AnswerVerdict AnswerCheck::OnOffset(std::string_view text) {
  const std::size_t dash = text.find('-');
  const auto first = ParseNumber(text.substr(0, dash));
  const auto last = dash == std::string_view::npos ? first : ParseNumber(text.substr(dash + 1));
  // The offset after the largest number would wrap to 0 and accept repeated tokens.
  const bool wraps = last == std::numeric_limits<std::uint64_t>::max();
  if (!first || !last || *last < *first || wraps) return Set(AnswerVerdict::kMalformed);
  if (*first > next_token_) return Set(AnswerVerdict::kTokenGap);
  if (*first < next_token_) return Set(AnswerVerdict::kTokenRepeated);
  has_offsets_ = true;
  next_token_ = *last + 1;
  return verdict_;
}

AnswerVerdict AnswerCheck::OnEnd() {
  if (verdict_ != AnswerVerdict::kPending) return verdict_;
  if (!header_seen_) return Set(AnswerVerdict::kTruncated);
  switch (framing_) {
    case AnswerFraming::kContentLength:
      return Set(body_bytes_ == expected_bytes_ ? AnswerVerdict::kComplete
                                                : AnswerVerdict::kTruncated);
    case AnswerFraming::kChunked:
      return Set(AnswerVerdict::kComplete);
    case AnswerFraming::kEventStream:
      if (!end_seen_) return Set(AnswerVerdict::kTruncated);
      return Set(partial_.empty() ? AnswerVerdict::kComplete : AnswerVerdict::kTooLong);
  }
  return Set(AnswerVerdict::kMalformed);
}

AnswerVerdict AnswerCheck::OnLost() {
  if (verdict_ != AnswerVerdict::kPending) return verdict_;
  // After the end marker nothing is missing, whatever happens to the connection.
  const bool whole =
      (framing_ == AnswerFraming::kEventStream && end_seen_ && partial_.empty()) ||
      (framing_ == AnswerFraming::kContentLength && header_seen_ && body_bytes_ == expected_bytes_);
  return Set(whole ? AnswerVerdict::kComplete : AnswerVerdict::kTruncated);
}

void AnswerCheck::Resume() {
  WTS_INVARIANT(verdict_ != AnswerVerdict::kPending && verdict_ != AnswerVerdict::kComplete);
  WTS_INVARIANT(resumable());
  verdict_ = AnswerVerdict::kPending;
  header_seen_ = false;
  end_seen_ = false;
  partial_.clear();
  ++counters_.resumes;
}

}  // namespace wagtailslip::traffic
