#include "wagtailslip/mesh/target_sync.h"

#include "gen/mesh_types.h"

namespace wagtailslip::mesh {

std::vector<LearnedTarget> ApplyTargets(const std::vector<wire::WeightsTarget>& received,
                                        serving::WeightsTargets& targets, TimePoint now,
                                        UtcTime utc_now) {
  std::vector<LearnedTarget> learned;
  for (const auto& it : received) {
    const std::chrono::milliseconds age(it.age_ms);
    if (!targets.AddTarget(it.model, it.version, now - age)) continue;
    const UtcTime named_at{std::chrono::milliseconds(it.named_utc_ms)};
    const Duration delay = it.named_utc_ms == 0 ? Duration::zero() : utc_now - named_at - age;
    learned.push_back({it.model, it.version, age, delay});
  }
  return learned;
}

}  // namespace wagtailslip::mesh
