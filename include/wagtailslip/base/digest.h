#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace wagtailslip {

/// A SHA-256 digest.
struct Digest {
  std::array<std::uint8_t, 32> bytes{};

  auto operator<=>(const Digest&) const = default;

  /// Lower-case hexadecimal text, 64 characters.
  std::string Hex() const;

  /// Parses 64 hexadecimal characters; nothing if the text has another shape.
  static std::optional<Digest> FromHex(std::string_view text);
};

/// SHA-256 of a buffer.
/// @throws Error if the library refuses
Digest Sha256(std::string_view data);

/// SHA-256 computed piece by piece.
class Sha256Stream {
 public:
  Sha256Stream();
  ~Sha256Stream();
  Sha256Stream(const Sha256Stream&) = delete;
  Sha256Stream& operator=(const Sha256Stream&) = delete;
  void Update(std::string_view data);
  Digest Finish();

 private:
  void* context_;
};

/// Fast 64-bit hash for placement and tables, where no adversary is possible.
std::uint64_t Hash64(std::string_view data, std::uint64_t seed = 0);

}  // namespace wagtailslip

template <>
struct std::hash<wagtailslip::Digest> {
  std::size_t operator()(const wagtailslip::Digest& digest) const noexcept {
    std::size_t value = 0;
    for (std::size_t i = 0; i < sizeof(value); ++i) value = value << 8 | digest.bytes[i];
    return value;
  }
};
