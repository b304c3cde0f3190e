#pragma once

#include <cstdint>
#include <cstdio>
#include <string>

namespace wagtailslip::disk {

// File names, name prefixes and magic numbers in the data folder.
inline constexpr char kLockName[] = "lock";
inline constexpr char kStateName[] = "state";
inline constexpr char kSyncedPositionName[] = "synced";
inline constexpr char kSegmentPrefix[] = "segment-";
inline constexpr char kSnapshotPrefix[] = "snapshot-";
inline constexpr std::uint32_t kStateMagic = 0x48535457;           // "WTSH"
inline constexpr std::uint32_t kSyncedPositionMagic = 0x4d535457;  // "WTSM"
inline constexpr std::uint32_t kSnapshotMagic = 0x53535457;        // "WTSS"

/// Returns a file name with a zero-padded number, so that names sort by number.
inline std::string NumberedName(const char* prefix, std::uint64_t number) {
  char digits[24];
  std::snprintf(digits, sizeof(digits), "%020llu", static_cast<unsigned long long>(number));
  return std::string(prefix) + digits;
}

}  // namespace wagtailslip::disk
