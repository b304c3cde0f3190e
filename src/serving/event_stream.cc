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

/// What stands between two blank lines of a stream.
enum class Block {
  kEvent,  ///< A line with a field of the format. Receivers ignore other lines beside it.
  kComments,
  kOther,
};

Block KindOf(std::string_view block) {
  constexpr std::array<std::string_view, 4> kFields{"data", "event", "id", "retry"};
  bool only_comments = true;
  while (!block.empty()) {
    const auto end = block.find('\n');
    std::string_view line = block.substr(0, end);
    if (line.ends_with('\r')) line.remove_suffix(1);
    const std::string_view name = line.substr(0, line.find(':'));
    if (std::find(kFields.begin(), kFields.end(), name) != kFields.end()) return Block::kEvent;
    if (!name.empty()) only_comments = false;
    if (end == std::string_view::npos) break;
    block.remove_prefix(end + 1);
  }
  return only_comments ? Block::kComments : Block::kOther;
}

/// Position after the blank line that ends the first event; npos if the event is incomplete.
/// @param from no event ends before it
std::size_t EndOfEvent(std::string_view text, std::size_t from) {
  for (auto at = text.find('\n', from); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    const std::string_view next = text.substr(at + 1, 2);
    if (next.starts_with('\n')) return at + 2;
    if (next == "\r\n" && at > 0 && text[at - 1] == '\r') return at + 3;
  }
  return std::string_view::npos;
}

}  // namespace

std::vector<StreamEvent> EventSplitter::Feed(std::string_view bytes) {
  // Each byte is searched about once, however few of them come at a time.
  constexpr std::size_t kLongestPartOfBlankLine = 3;
  rest_.append(bytes);
  std::vector<StreamEvent> events;
  std::string_view text = rest_;
  std::size_t from = searched_;
  for (auto end = EndOfEvent(text, from); end != std::string_view::npos;
       end = EndOfEvent(text, 0)) {
    const std::string_view event = text.substr(0, end);
    const Block kind = KindOf(event);
    malformed_ = malformed_ || kind == Block::kOther;
    if (malformed_) break;
    events.push_back({std::string(event), ParseId(event), kind == Block::kComments});
    text.remove_prefix(end);
  }
  rest_.erase(0, rest_.size() - text.size());
  searched_ = rest_.size() - std::min(rest_.size(), kLongestPartOfBlankLine);
  return events;
}

}  // namespace wagtailslip::serving
