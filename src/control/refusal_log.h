#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "wagtailslip/base/time.h"

namespace wagtailslip::control {

/// Decides which refused announcements are logged: one of each writer in kInterval, and those of at
/// most kMaxWriters writers in it, so that neither a writer that goes on nor one that changes its
/// id fills the log.
class RefusalLog {
 public:
  static constexpr Duration kInterval = std::chrono::minutes(1);
  static constexpr std::size_t kMaxWriters = 64;

  /// Takes a refused announcement.
  /// @param writer id that the announcement names
  /// @return number of its announcements refused since its last line, this one included, if a line
  ///     is due; nothing otherwise
  std::optional<std::uint64_t> Add(const std::string& writer, TimePoint now);

 private:
  struct Writer {
    TimePoint logged_at;
    std::uint64_t refused = 0;
  };
  std::map<std::string, Writer> writers_;
};

}  // namespace wagtailslip::control
