#pragma once

#include <bit>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailslip::spread {

/// The set of chunks of one manifest that an agent holds; the reply to `GET /have/{root}`.
class Bitmap {
 public:
  Bitmap() = default;
  explicit Bitmap(std::size_t size) : size_(size), words_((size + 63) / 64) {}

  std::size_t size() const { return size_; }
  bool Test(std::size_t i) const { return (words_[i / 64] >> (i % 64) & 1) != 0; }
  void Set(std::size_t i) { words_[i / 64] |= std::uint64_t{1} << (i % 64); }
  void Reset(std::size_t i) { words_[i / 64] &= ~(std::uint64_t{1} << (i % 64)); }
  std::size_t Count() const;
  bool All() const { return Count() == size_; }

  const std::vector<std::uint64_t>& words() const { return words_; }
  std::vector<std::uint64_t>& words() { return words_; }

  /// Returns the wire format: ceil(size / 8) bytes, chunk i in bit i % 8 of byte i / 8.
  std::string ToBytes() const;

  /// Parses the wire format.
  /// @return nullopt if the length does not match `size` or a bit beyond `size` is set
  static std::optional<Bitmap> FromBytes(std::string_view bytes, std::size_t size);

  bool operator==(const Bitmap&) const = default;

 private:
  std::size_t size_ = 0;
  std::vector<std::uint64_t> words_;
};

/// Calls `visit(index)` for each set bit of `bits`, the word at position `word` of a bitmap.
template <typename Visit>
void ForEachBit(std::uint64_t bits, std::size_t word, Visit visit) {
  while (bits != 0) {
    visit(word * 64 + static_cast<std::size_t>(std::countr_zero(bits)));
    bits &= bits - 1;
  }
}

}  // namespace wagtailslip::spread
