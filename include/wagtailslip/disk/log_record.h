#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wagtailslip/agreement/types.h"

namespace wagtailslip::disk {

/// A decoded record of a segment file.
struct LogRecord {
  agreement::Entry entry;
  /// Bytes of the segment that were synced when this record was written. Damage before this offset
  /// affects acknowledged data; damage after it may come from a torn write.
  std::uint64_t synced_length = 0;
  /// Encoded size in bytes.
  std::size_t size = 0;
};

/// Encoded size of a record without its data, in bytes.
inline constexpr std::size_t kRecordHeaderBytes = 4 + 4 + 8 + 8 + 8 + 8 + 1;

/// Appends an encoded record to `buf`: magic number, data length, xxHash64 of the fields that
/// follow, synced length, index, term, kind, data.
void EncodeRecord(const agreement::Entry& entry, std::uint64_t synced_length, std::string& buf);

/// Decodes the record at the start of `data`; nullopt if it is incomplete or its checksum is wrong.
std::optional<LogRecord> DecodeRecord(std::string_view data);

/// Encodes the header of a segment file: magic number, version, first index, checksum.
std::string EncodeSegmentHeader(agreement::Index first);
/// Returns the first index of the segment; nullopt if the header is invalid.
std::optional<agreement::Index> DecodeSegmentHeader(std::string_view data);
inline constexpr std::size_t kSegmentHeaderBytes = 4 + 4 + 8 + 8;

/// Prefixes `body` with a magic number, its size and a checksum. Used for small files that are
/// always written as a whole.
std::string EncodeChecksummed(std::uint32_t magic, std::string_view body);
/// Returns the body; nullopt if the magic number, the size or the checksum is wrong.
std::optional<std::string_view> DecodeChecksummed(std::uint32_t magic, std::string_view data);

std::string EncodeSnapshot(const agreement::Snapshot& snapshot);
std::optional<agreement::Snapshot> DecodeSnapshot(std::string_view body);

}  // namespace wagtailslip::disk
