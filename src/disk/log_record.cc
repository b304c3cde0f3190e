#include "wagtailslip/disk/log_record.h"

#include <xxhash.h>

#include "wagtailslip/disk/encoding.h"

namespace wagtailslip::disk {
namespace {

constexpr std::uint32_t kRecordMagic = 0x52535457;   // "WTSR"
constexpr std::uint32_t kSegmentMagic = 0x4c535457;  // "WTSL"
constexpr std::uint32_t kSegmentVersion = 1;
/// Bytes before the checksummed part of a record: magic number, data length and checksum.
constexpr std::size_t kRecordBodyOffset = 4 + 4 + 8;

std::uint64_t Checksum(std::string_view data, std::uint64_t seed) {
  return XXH64(data.data(), data.size(), seed);
}

}  // namespace

void EncodeRecord(const agreement::Entry& entry, std::uint64_t synced_length, std::string& buf) {
  Encoder body;
  body.U64(synced_length);
  body.U64(entry.index);
  body.U64(entry.term);
  body.U8(static_cast<std::uint8_t>(entry.kind));
  body.Raw(entry.data);
  const auto length = static_cast<std::uint32_t>(entry.data.size());
  Encoder header;
  header.U32(kRecordMagic);
  header.U32(length);
  // The checksum is seeded with the length, so that a damaged length is detected too.
  header.U64(Checksum(body.data(), length));
  buf += header.data();
  buf += body.data();
}

std::optional<LogRecord> DecodeRecord(std::string_view data) {
  Decoder header(data);
  if (header.U32() != kRecordMagic) return std::nullopt;
  const std::uint32_t length = header.U32();
  const std::uint64_t checksum = header.U64();
  const std::string_view body = header.Raw(kRecordHeaderBytes - kRecordBodyOffset + length);
  if (!header.ok() || Checksum(body, length) != checksum) return std::nullopt;
  Decoder decoder(body);
  LogRecord record;
  record.synced_length = decoder.U64();
  record.entry.index = decoder.U64();
  record.entry.term = decoder.U64();
  record.entry.kind = static_cast<agreement::EntryKind>(decoder.U8());
  record.entry.data = std::string(decoder.Rest());
  record.size = kRecordHeaderBytes + length;
  return record;
}

std::string EncodeSegmentHeader(agreement::Index first) {
  Encoder header;
  header.U32(kSegmentMagic);
  header.U32(kSegmentVersion);
  header.U64(first);
  header.U64(Checksum(header.data(), kSegmentMagic));
  return header.Take();
}

std::optional<agreement::Index> DecodeSegmentHeader(std::string_view data) {
  if (data.size() < kSegmentHeaderBytes) return std::nullopt;
  Decoder header(data);
  const bool format_matches = header.U32() == kSegmentMagic && header.U32() == kSegmentVersion;
  const agreement::Index first = header.U64();
  const std::string_view checksummed = data.substr(0, kSegmentHeaderBytes - 8);
  if (!format_matches || header.U64() != Checksum(checksummed, kSegmentMagic)) return std::nullopt;
  return first;
}

std::string EncodeChecksummed(std::uint32_t magic, std::string_view body) {
  Encoder file;
  file.U32(magic);
  file.U64(body.size());
  file.U64(Checksum(body, magic));
  file.Raw(body);
  return file.Take();
}

std::optional<std::string_view> DecodeChecksummed(std::uint32_t magic, std::string_view data) {
  Decoder file(data);
  const bool magic_matches = file.U32() == magic;
  const std::uint64_t size = file.U64();
  const std::uint64_t checksum = file.U64();
  const std::string_view body = file.Rest();
  if (!magic_matches || !file.ok() || body.size() != size || Checksum(body, magic) != checksum) {
    return std::nullopt;
  }
  return body;
}

std::string EncodeSnapshot(const agreement::Snapshot& snapshot) {
  Encoder body;
  body.U64(snapshot.index);
  body.U64(snapshot.term);
  body.U32(static_cast<std::uint32_t>(snapshot.membership.members().size()));
  for (const auto& [id, role] : snapshot.membership.members()) {
    body.Bytes(id.process);
    body.U64(id.incarnation);
    body.U8(static_cast<std::uint8_t>(role));
  }
  body.Raw(snapshot.data);
  return body.Take();
}

std::optional<agreement::Snapshot> DecodeSnapshot(std::string_view body) {
  Decoder decoder(body);
  agreement::Snapshot snapshot;
  snapshot.index = decoder.U64();
  snapshot.term = decoder.U64();
  for (std::uint32_t n = decoder.U32(); n > 0 && decoder.ok(); --n) {
    agreement::ReplicaId id;
    id.process = std::string(decoder.Bytes());
    id.incarnation = decoder.U64();
    snapshot.membership.Set(id, static_cast<agreement::MemberRole>(decoder.U8()));
  }
  snapshot.data = std::string(decoder.Rest());
  if (!decoder.ok()) return std::nullopt;
  return snapshot;
}

}  // namespace wagtailslip::disk
