#include "wagtailslip/serving/event_stream.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace wagtailslip::serving {
namespace {

std::optional<std::int64_t> ParseId(std::string_view event) {
  constexpr std::string_view kField = "id:";
  while (!event.empty()) {
    const auto end = event.find('\n');
    std::string_view line = event.substr(0, end);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (line.starts_with(kField)) {
      line.remove_prefix(kField.size());
      while (line.starts_with(' ')) line.remove_prefix(1);
      std::int64_t value = 0;
      const auto [last, ec] = std::from_chars(line.data(), line.data() + line.size(), value);
      if (ec != std::errc{} || last != line.data() + line.size()) return std::nullopt;
      return value;
    }
    if (end == std::string_view::npos) break;
    event.remove_prefix(end + 1);
  }
  return std::nullopt;
}

/// Whether a block has the form of an event: a line with a field of the event stream format, or
/// nothing but comments. Receivers ignore other lines, so they may stand beside those.
bool IsEvent(std::string_view block) {
  constexpr std::array<std::string_view, 4> kFields{"data", "event", "id", "retry"};
  bool only_comments = true;
  while (!block.empty()) {
    const auto end = block.find('\n');
    std::string_view line = block.substr(0, end);
    if (line.ends_with('\r')) line.remove_suffix(1);
    const std::string_view name = line.substr(0, line.find(':'));
    if (std::find(kFields.begin(), kFields.end(), name) != kFields.end()) return true;
    if (!name.empty()) only_comments = false;
    if (end == std::string_view::npos) break;
    block.remove_prefix(end + 1);
  }
  return only_comments;
}

/// Position after the blank line that ends the first event; npos if the event is incomplete.
std::size_t EndOfEvent(std::string_view text) {
  const auto lf = text.find("\n\n");
  const auto crlf = text.find("\r\n\r\n");
  if (lf == std::string_view::npos && crlf == std::string_view::npos) return lf;
  if (crlf == std::string_view::npos || (lf != std::string_view::npos && lf < crlf)) return lf + 2;
  return crlf + 4;
}

}  // namespace

std::vector<StreamEvent> EventSplitter::Feed(std::string_view bytes) {
  rest_.append(bytes);
  std::vector<StreamEvent> events;
  std::string_view text = rest_;
  for (auto end = EndOfEvent(text); end != std::string_view::npos; end = EndOfEvent(text)) {
    const std::string_view event = text.substr(0, end);
    malformed_ = malformed_ || !IsEvent(event);
    if (malformed_) break;
    events.push_back({std::string(event), ParseId(event)});
    text.remove_prefix(end);
  }
  rest_.erase(0, rest_.size() - text.size());
  return events;
}

}  // namespace wagtailslip::serving
