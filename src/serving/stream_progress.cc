#include "wagtailslip/serving/stream_progress.h"

#include "wagtailslip/serving/event_stream.h"

namespace wagtailslip::serving {
namespace {

// Events that hold no token, such as one at the end of a stream.
constexpr double kMaxEventsWithoutToken = 8;

}  // namespace

void StreamProgress::BeginAttempt(TimePoint now) {
  bytes_since_event_ = 0;
  last_event_at_ = now;
}

void StreamProgress::OnNewEvents(std::size_t n, TimePoint now) {
  if (n == 0) return;
  events_ += n;
  bytes_since_event_ = 0;
  last_event_at_ = now;
}

bool StreamProgress::TooManyBytes() const {
  return bytes_since_event_ > EventSplitter::kMaxEventBytes;
}

bool StreamProgress::TooManyEvents() const {
  return max_tokens_ > 0 && static_cast<double>(events_) > max_tokens_ + kMaxEventsWithoutToken;
}

bool StreamProgress::Stalled(Duration timeout, TimePoint now) const {
  return bytes_since_event_ > 0 && now - last_event_at_ >= timeout;
}

}  // namespace wagtailslip::serving
