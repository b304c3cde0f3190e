#include <cstddef>
#include <cstdint>
#include <string_view>

#include "wagtailslip/base/error.h"
#include "wagtailslip/sheet/sheet.h"

/// Planners' sheets: an accepted one has rows whose differences can be listed.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace sheet = wagtailslip::sheet;
  const std::string_view csv(reinterpret_cast<const char*>(data), size);
  for (const auto form : {sheet::DateForm::kYearMonthDay, sheet::DateForm::kDayMonthYear}) {
    sheet::Options options;
    options.date_form = form;
    const auto result = sheet::Parse(csv, options);
    WTS_INVARIANT(result.faults.size() <= sheet::kListedFaults + 1);
    if (result.ok()) sheet::Difference(result.sheet, {}, {});
  }
  return 0;
}
