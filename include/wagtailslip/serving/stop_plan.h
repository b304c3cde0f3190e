#pragma once

#include "wagtailslip/base/time.h"

namespace wagtailslip::serving {

/// Schedule of a graceful shutdown. All times count from the stop signal.
struct StopPlan {
  /// New callers are accepted until then, because some still use an address that they looked up
  /// before the signal.
  Duration accept_period;
  /// The process exits then, even if requests are in progress.
  Duration exit_after;
};

/// @param grace time from the signal until the process is killed
StopPlan MakeStopPlan(Duration grace);

/// A stopping process that serves chunks to peers.
struct StoppingSource {
  /// When the stop signal came, and when the last chunk was uploaded. The latter is not before the
  /// signal; without an upload since then the two are equal.
  TimePoint signalled_at{};
  TimePoint last_upload_at{};
  /// A chunk is being uploaded, or a load of the engine is being checked.
  bool busy = false;
  /// Time from the signal until the process is killed.
  Duration grace{};
};

/// Whether the process may exit. It may be the only holder of a chunk, which peers would then have
/// to fetch from the origin again, if the origin is available.
bool SourceMayExit(const StoppingSource& source, TimePoint now);

}  // namespace wagtailslip::serving
