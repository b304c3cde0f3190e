#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "wagtailslip/base/digest.h"

namespace wagtailslip::tools {

/// Text of the tokens of one answer. The load generator computes the same text and so finds
/// answers that mix versions or belong to another request.
class TokenText {
 public:
  /// @param version root digest in hexadecimal
  TokenText(std::string_view model, std::string_view version, std::string_view request_id)
      : seed_(Hash64(request_id, Hash64(version, Hash64(model)))) {}

  /// Text of a token: eight hexadecimal digits and a space.
  std::string At(std::uint64_t index) const {
    constexpr std::string_view kDigits = "0123456789abcdef";
    constexpr int kLength = 8;
    std::uint64_t hash = Hash64(std::to_string(index), seed_);
    std::string text(kLength + 1, ' ');
    for (int i = 0; i < kLength; ++i, hash >>= 4) text[i] = kDigits[hash & 15];
    return text;
  }

 private:
  std::uint64_t seed_;
};

}  // namespace wagtailslip::tools
