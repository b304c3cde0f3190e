#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailslip::disk {

/// Appends little-endian numbers and length-prefixed strings to a buffer.
class Encoder {
 public:
  void U8(std::uint8_t value) { buf_.push_back(static_cast<char>(value)); }
  void U32(std::uint32_t value) { Number(value, 4); }
  void U64(std::uint64_t value) { Number(value, 8); }
  void Bytes(std::string_view data) {
    U32(static_cast<std::uint32_t>(data.size()));
    buf_ += data;
  }
  void Raw(std::string_view data) { buf_ += data; }
  const std::string& data() const { return buf_; }
  std::string Take() { return std::move(buf_); }

 private:
  void Number(std::uint64_t value, int size) {
    for (int i = 0; i < size; ++i) buf_.push_back(static_cast<char>(value >> (8 * i) & 0xff));
  }
  std::string buf_;
};

/// Decodes values written by Encoder. After a read beyond the end, ok() is false and reads return
/// zero or an empty string.
class Decoder {
 public:
  explicit Decoder(std::string_view data) : data_(data) {}

  std::uint8_t U8() { return static_cast<std::uint8_t>(Number(1)); }
  std::uint32_t U32() { return static_cast<std::uint32_t>(Number(4)); }
  std::uint64_t U64() { return Number(8); }
  std::string_view Bytes() { return Raw(U32()); }
  std::string_view Raw(std::size_t size) {
    if (size > data_.size() - position_) {
      ok_ = false;
      position_ = data_.size();
      return {};
    }
    position_ += size;
    return data_.substr(position_ - size, size);
  }
  std::string_view Rest() { return Raw(data_.size() - position_); }
  bool ok() const { return ok_; }

 private:
  std::uint64_t Number(std::size_t size) {
    const std::string_view raw = Raw(size);
    std::uint64_t value = 0;
    for (std::size_t i = raw.size(); i > 0; --i) {
      value = value << 8 | static_cast<std::uint8_t>(raw[i - 1]);
    }
    return value;
  }
  std::string_view data_;
  std::size_t position_ = 0;
  bool ok_ = true;
};

}  // namespace wagtailslip::disk
