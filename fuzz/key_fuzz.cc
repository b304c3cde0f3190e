#include <cstddef>
#include <cstdint>
#include <string>

#include "wagtailslip/base/error.h"
#include "wagtailslip/config/state.h"

/// Issue times of idempotency keys lie between 2020 and 2099.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace wagtailslip;
  const auto time = config::KeyIssueTime(std::string(reinterpret_cast<const char*>(data), size));
  WTS_INVARIANT(!time || (*time >= UtcTime(std::chrono::seconds(1'577'836'800)) &&
                          *time < UtcTime(std::chrono::seconds(4'102'444'800))));
  return 0;
}
