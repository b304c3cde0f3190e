#pragma once

#include <string_view>
#include <vector>

#include "wagtailslip/base/time.h"
#include "wagtailslip/spread/manifest.h"

namespace wagtailslip::spread {

/// Received chunks that do not match the manifest of one version. Decides when the manifest itself
/// may be wrong and must be fetched again.
class RejectedChunks {
 public:
  /// Records a body that does not match the manifest.
  void Add(ChunkIndex chunk, std::string_view body, TimePoint now);

  /// Returns whether to fetch the manifest again.
  bool RefetchDue(TimePoint now) const { return suspect_ && now >= next_refetch_; }

  /// Records that the manifest was fetched again. Delays the next time, longer after each one.
  void OnRefetch(TimePoint now);

  /// Returns whether a manifest has the digest of a body that was received more than once, so that
  /// it may replace the current one.
  bool MatchedBy(const Manifest& manifest) const;

 private:
  struct Row {
    ChunkIndex chunk = 0;
    Chunk received;
    bool repeated = false;
  };
  std::vector<Row> rows_;
  bool suspect_ = false;
  TimePoint next_refetch_{};
  Duration delay_{};
};

}  // namespace wagtailslip::spread
