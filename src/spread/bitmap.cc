#include "wagtailslip/spread/bitmap.h"

namespace wagtailslip::spread {

std::size_t Bitmap::Count() const {
  std::size_t n = 0;
  for (const std::uint64_t word : words_) n += static_cast<std::size_t>(std::popcount(word));
  return n;
}

std::string Bitmap::ToBytes() const {
  std::string bytes((size_ + 7) / 8, '\0');
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    bytes[i] = static_cast<char>(words_[i / 8] >> (i % 8 * 8) & 0xff);
  }
  return bytes;
}

std::optional<Bitmap> Bitmap::FromBytes(std::string_view bytes, std::size_t size) {
  if (bytes.size() != (size + 7) / 8) return std::nullopt;
  Bitmap bitmap(size);
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    bitmap.words_[i / 8] |= std::uint64_t{static_cast<std::uint8_t>(bytes[i])} << (i % 8 * 8);
  }
  if (size % 64 != 0 && bitmap.words_.back() >> (size % 64) != 0) return std::nullopt;
  return bitmap;
}

}  // namespace wagtailslip::spread
