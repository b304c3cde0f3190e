#include "wagtailslip/process/log_volume.h"

#include <algorithm>
#include <utility>

namespace wagtailslip::process {

std::optional<std::uint64_t> LogVolume::Admit(int event, TimePoint now) {
  const auto [it, added] = buckets_.try_emplace(event, Bucket{burst_, now, 0});
  Bucket& bucket = it->second;
  bucket.tokens = std::min(burst_, bucket.tokens + rate_ * ToSeconds(now - bucket.updated));
  bucket.updated = now;
  if (bucket.tokens < 1) {
    ++bucket.left_out;
    return std::nullopt;
  }
  --bucket.tokens;
  return std::exchange(bucket.left_out, 0);
}

}  // namespace wagtailslip::process
