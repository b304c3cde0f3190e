#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailslip::serving {

/// One complete event of a stream, byte for byte as received.
struct StreamEvent {
  std::string bytes;
  /// Value of the id field; std::nullopt if it is missing or not a number.
  std::optional<std::int64_t> id;
  /// Nothing but comments, which receivers ignore.
  bool only_comments = false;
};

/// Splits a text/event-stream into complete events, so that a stream that is interrupted within an
/// event can be resumed after the last complete one.
class EventSplitter {
 public:
  /// Maximum size of a buffered event.
  static constexpr std::size_t kMaxEventBytes = std::size_t{1} << 20;

  /// Appends received bytes.
  /// @return the events that they complete, in order; none from the first malformed one on
  std::vector<StreamEvent> Feed(std::string_view bytes);
  /// Bytes after the last complete event.
  std::string_view rest() const { return rest_; }
  /// Whether an event exceeds kMaxEventBytes; the rest of the stream cannot be parsed then.
  bool overflow() const { return rest_.size() > kMaxEventBytes; }
  /// Whether a block without any field of an event was received; the endpoint wrote something else
  /// into the stream then, such as the head or the text of an error.
  bool malformed() const { return malformed_; }
  /// Discards a partial event before another endpoint resumes the stream.
  void Reset() {
    rest_.clear();
    searched_ = 0;
    malformed_ = false;
  }

 private:
  std::string rest_;
  /// Bytes of `rest_` in which no event ends.
  std::size_t searched_ = 0;
  bool malformed_ = false;
};

}  // namespace wagtailslip::serving
