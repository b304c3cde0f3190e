#include <cstddef>
#include <cstdint>
#include <string_view>

#include "wagtailslip/base/error.h"
#include "wagtailslip/codec/record_codec.h"
#include "wagtailslip/codec/state_codec.h"

using wagtailslip::codec::CodecError;

/// Configuration records: a record that decodes keeps its content when it is encoded again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  try {
    const auto text = wagtailslip::codec::EncodeRecord(wagtailslip::codec::DecodeRecord(bytes));
    WTS_INVARIANT(text == wagtailslip::codec::EncodeRecord(wagtailslip::codec::DecodeRecord(text)));
  } catch (const CodecError&) {
  }
  try {
    wagtailslip::codec::DecodeState(bytes);
  } catch (const CodecError&) {
  }
  return 0;
}
