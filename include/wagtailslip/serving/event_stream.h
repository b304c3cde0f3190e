#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailslip::serving {

/// One whole event of a stream, as it was received.
struct StreamEvent {
  std::string bytes;
  /// Value of its id field; nothing if it has none or the value is no number.
  std::optional<std::int64_t> id;
};

/// Splits the bytes of a text/event-stream into whole events, so that a stream that breaks off
/// within an event can be continued after the last whole one.
class EventSplitter {
 public:
  /// Longest event that is buffered.
  static constexpr std::size_t kMaxEventBytes = std::size_t{1} << 20;

  /// Takes received bytes.
  /// @return the events that are whole now, in order
  std::vector<StreamEvent> Feed(std::string_view bytes);
  /// Bytes after the last whole event.
  std::string_view rest() const { return rest_; }
  /// True if an event is longer than kMaxEventBytes; the stream cannot be followed then.
  bool overflow() const { return rest_.size() > kMaxEventBytes; }
  /// Drops a partial event before another endpoint continues the stream.
  void Reset() { rest_.clear(); }

 private:
  std::string rest_;
};

}  // namespace wagtailslip::serving
