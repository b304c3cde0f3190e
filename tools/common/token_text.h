#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "wagtailslip/base/digest.h"

namespace wagtailslip::tools {

/// Eight hexadecimal digits of a text's hash. Answers carry it so that a caller can tell that an
/// answer belongs to its request where the system gives the request another id.
inline std::string ShortHash(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr int kLength = 8;
  std::uint64_t hash = Hash64(text);
  std::string digits(kLength, '0');
  for (int i = 0; i < kLength; ++i, hash >>= 4) digits[i] = kDigits[hash & 15];
  return digits;
}

/// Text of a chat's messages, which the prefix cache and the hash of a prompt cover.
inline std::string PromptText(const nlohmann::json& messages) {
  std::string text;
  for (const auto& message : messages) {
    text += message.value("role", "") + ":" + message.value("content", "") + "\n";
  }
  return text;
}

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
