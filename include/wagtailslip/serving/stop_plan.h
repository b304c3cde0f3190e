#pragma once

#include "wagtailslip/base/time.h"

namespace wagtailslip::serving {

/// Times of a planned stop, from its signal on.
struct StopPlan {
  /// Until then callers are still taken, because some use an address that they got before.
  Duration accept_period;
  /// Then the process ends, whatever is in progress.
  Duration exit_after;
};

/// @param grace time from the signal until the process is killed
StopPlan MakeStopPlan(Duration grace);

/// A process that hands out chunks and is about to end.
struct StoppingSource {
  /// When it was told to stop, and when it handed out a chunk last; not before the former.
  TimePoint signalled_at{};
  TimePoint last_upload_at{};
  bool uploading = false;
  /// Time from the signal until it is killed.
  Duration grace{};
};

/// Whether it may end. It may be the only holder of a chunk, which then takes the way from the
/// origin again, if there is one.
bool SourceMayExit(const StoppingSource& source, TimePoint now);

}  // namespace wagtailslip::serving
