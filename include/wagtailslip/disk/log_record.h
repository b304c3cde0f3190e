#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wagtailslip/agreement/types.h"

namespace wagtailslip::disk {

/// One entry in a segment file.
struct LogRecord {
  agreement::Entry entry;
  /// Length of the segment that was synced when this record was written. A damaged byte before it
  /// was acknowledged; one after it may belong to a write that the crash cut short.
  std::uint64_t synced_length = 0;
  /// Bytes that the record takes in the file.
  std::size_t size = 0;
};

/// Bytes of a record without its data.
inline constexpr std::size_t kRecordHeaderBytes = 4 + 4 + 8 + 8 + 8 + 8 + 1;

/// Appends a record: magic, data length, xxHash64 of the rest, synced length, index, term, kind,
/// data.
void EncodeRecord(const agreement::Entry& entry, std::uint64_t synced_length, std::string& buf);

/// The record at the start of `data`; nothing if it is incomplete or its checksum is wrong.
std::optional<LogRecord> DecodeRecord(std::string_view data);

/// Header of a segment file: magic, version, first index, checksum.
std::string EncodeSegmentHeader(agreement::Index first);
std::optional<agreement::Index> DecodeSegmentHeader(std::string_view data);
inline constexpr std::size_t kSegmentHeaderBytes = 4 + 4 + 8 + 8;

/// A file content with a magic number and a checksum in front, for small files that are replaced
/// as a whole.
std::string EncodeChecksummed(std::uint32_t magic, std::string_view body);
/// The body, or nothing if the magic number or the checksum is wrong.
std::optional<std::string_view> DecodeChecksummed(std::uint32_t magic, std::string_view data);

std::string EncodeSnapshot(const agreement::Snapshot& snapshot);
std::optional<agreement::Snapshot> DecodeSnapshot(std::string_view body);

}  // namespace wagtailslip::disk
