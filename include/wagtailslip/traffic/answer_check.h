#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wagtailslip/base/digest.h"
#include "wagtailslip/base/enum_table.h"

namespace wagtailslip::traffic {

/// What is known about an answer so far. Everything but the first two is a failure of the attempt.
enum class AnswerVerdict {
  kPending,
  kComplete,
  kWrongRequest,
  kWrongVersion,
  kMissingIdentity,
  kTruncated,
  kTooLong,
  kTokenGap,
  kTokenRepeated,
  kMalformed,
};
inline constexpr EnumTable<AnswerVerdict, 10> kAnswerVerdicts{
    {{{AnswerVerdict::kPending, "pending"},
      {AnswerVerdict::kComplete, "complete"},
      {AnswerVerdict::kWrongRequest, "wrong-request-id"},
      {AnswerVerdict::kWrongVersion, "wrong-version"},
      {AnswerVerdict::kMissingIdentity, "missing-identity"},
      {AnswerVerdict::kTruncated, "truncated"},
      {AnswerVerdict::kTooLong, "too-long"},
      {AnswerVerdict::kTokenGap, "token-gap"},
      {AnswerVerdict::kTokenRepeated, "token-repeated"},
      {AnswerVerdict::kMalformed, "malformed"}}}};

/// How the end of an answer is recognised.
enum class AnswerFraming { kContentLength, kChunked, kEventStream };
inline constexpr EnumTable<AnswerFraming, 3> kAnswerFramings{
    {{{AnswerFraming::kContentLength, "content-length"},
      {AnswerFraming::kChunked, "chunked"},
      {AnswerFraming::kEventStream, "event-stream"}}}};

/// Header fields of an answer.
struct AnswerHeader {
  std::string request_id;
  /// Text of X-Model-Version; empty if the endpoint sent none.
  std::string version;
  AnswerFraming framing = AnswerFraming::kContentLength;
  /// Body length in bytes, with kContentLength.
  std::uint64_t content_length = 0;
};

/// Checks that an answer belongs to its request and is complete. One object per call; a resumed
/// stream goes on with Resume on the same object.
///
/// An event stream consists of server-sent events. The field `id:` of an event holds the offset of
/// its first token, counted from 0; an event carries one token unless its `id:` is written
/// `first-last`. The event `data: [DONE]` ends the stream. Only whole events are passed on, so that
/// a stream that was cut inside an event can be resumed without repeating a part of it.
class AnswerCheck {
 public:
  /// Largest event in bytes.
  static constexpr std::size_t kEventLimit = 1 << 20;

  struct Counters {
    std::uint64_t bytes = 0;
    std::uint64_t events = 0;
    std::uint32_t resumes = 0;
  };

  /// @param request_id id that the answer must carry
  /// @param version digest that the answer must name; nothing for a service without versions
  explicit AnswerCheck(std::string request_id, std::optional<Digest> version = std::nullopt);

  AnswerVerdict OnHeader(const AnswerHeader& header);
  /// Feeds a piece of the body.
  /// @param forward receives the bytes that may be passed on to the caller
  AnswerVerdict OnPiece(std::string_view piece, std::string& forward);
  /// The connection delivered the end of the body.
  AnswerVerdict OnEnd();
  /// The connection failed; the answer is truncated unless it was complete.
  AnswerVerdict OnLost();
  /// Prepares for the header of a stream resumed at next_token(). Only after kTruncated, or after
  /// a failed resume.
  void Resume();

  AnswerVerdict verdict() const { return verdict_; }
  /// Offset of the next token that the caller lacks.
  std::uint64_t next_token() const { return next_token_; }
  /// Whether the stream can be resumed: its events carry token offsets.
  bool resumable() const { return framing_ == AnswerFraming::kEventStream && has_offsets_; }
  const Counters& counters() const { return counters_; }

 private:
  AnswerVerdict Set(AnswerVerdict verdict) { return verdict_ = verdict; }
  AnswerVerdict FeedEvents(std::string_view piece, std::string& forward);
  /// Judges one whole event.
  AnswerVerdict OnEvent(std::string_view event);
  AnswerVerdict OnOffset(std::string_view text);

  std::string request_id_;
  std::string version_;
  AnswerFraming framing_ = AnswerFraming::kContentLength;
  AnswerVerdict verdict_ = AnswerVerdict::kPending;
  bool header_seen_ = false;
  bool has_offsets_ = false;
  bool end_seen_ = false;
  std::uint64_t expected_bytes_ = 0;
  std::uint64_t body_bytes_ = 0;
  std::uint64_t next_token_ = 0;
  std::string partial_;
  Counters counters_;
};

}  // namespace wagtailslip::traffic
