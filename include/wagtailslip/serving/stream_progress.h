#pragma once

#include <cstddef>

#include "wagtailslip/base/time.h"

namespace wagtailslip::serving {

/// Judges whether an endpoint's stream gets on, or whether bytes come that are no answer: events
/// that the caller has already, comments, an event without end, more events than the answer has.
class StreamProgress {
 public:
  /// @param max_tokens most tokens of the answer; 0 if the request does not say so
  void SetMaxTokens(double max_tokens) { max_tokens_ = max_tokens; }
  /// Begins an attempt. Events of earlier ones count, as it goes on after them.
  void BeginAttempt(TimePoint now);
  void OnBytes(std::size_t n) { bytes_since_event_ += n; }
  /// New events arrived.
  void OnNewEvents(std::size_t n, TimePoint now);
  /// Events were forwarded. A caller that reads slowly is no fault of the endpoint.
  void OnForwarded(TimePoint now) { last_event_at_ = now; }

  /// Whether more bytes came without a new event than the largest event has.
  bool TooManyBytes() const;
  /// Whether more events came than the answer has tokens: they are not the answer.
  bool TooManyEvents() const;
  /// Whether bytes came, and no new event for `timeout`.
  bool Stalled(Duration timeout, TimePoint now) const;

 private:
  double max_tokens_ = 0;
  std::size_t events_ = 0;
  std::size_t bytes_since_event_ = 0;
  TimePoint last_event_at_{};
};

}  // namespace wagtailslip::serving
