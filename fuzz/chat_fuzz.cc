#include <cstddef>
#include <cstdint>
#include <string_view>

#include "wagtailslip/base/error.h"
#include "wagtailslip/codec/chat_codec.h"

/// Bodies of chat requests.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace codec = wagtailslip::codec;
  try {
    const auto request =
        codec::ParseChatRequest(std::string_view(reinterpret_cast<const char*>(data), size));
    WTS_INVARIANT(request.tokens >= 1);
  } catch (const codec::FieldError&) {
  }
  return 0;
}
