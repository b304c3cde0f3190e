#include <cstddef>
#include <cstdint>
#include <string_view>

#include "gen/wagtailslip_types.h"
#include "wagtailslip/codec/agreement_codec.h"
#include "wagtailslip/codec/compact.h"
#include "wagtailslip/codec/limit_codec.h"
#include "wagtailslip/disk/log_record.h"

/// Frames of other processes and records of the log file.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace codec = wagtailslip::codec;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  try {
    const auto message = codec::DecodeCompact<wagtailslip::wire::Frame>(bytes).body;
    if (message.__isset.agreement) codec::FromWire(message.agreement);
    if (message.__isset.limits) codec::LimitsFromWire(message.limits);
  } catch (const codec::CodecError&) {
  }
  wagtailslip::disk::DecodeRecord(bytes);
  wagtailslip::disk::DecodeSegmentHeader(bytes);
  wagtailslip::disk::DecodeSnapshot(bytes);
  return 0;
}
