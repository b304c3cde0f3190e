#pragma once

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <string>
#include <string_view>

#include "wagtailslip/codec/error.h"

namespace wagtailslip::codec {

/// Maximum size of an encoded message. The decoder also uses it as the limit for strings and
/// containers.
inline constexpr std::int32_t kMaxMessageBytes = 16 * 1024 * 1024;

/// Encodes a Thrift struct in the compact protocol.
template <typename T>
std::string EncodeCompact(const T& value) {
  auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(
      buffer);
  value.write(&protocol);
  return buffer->getBufferAsString();
}

/// Decodes a Thrift struct from the compact protocol.
/// @throws CodecError unless the bytes are exactly one encoded struct
template <typename T>
T DecodeCompact(std::string_view bytes) {
  using Buffer = apache::thrift::transport::TMemoryBuffer;
  try {
    // OBSERVE mode reads the caller's bytes in place and never writes to them.
    auto* data = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
    auto buffer =
        std::make_shared<Buffer>(data, static_cast<std::uint32_t>(bytes.size()), Buffer::OBSERVE);
    apache::thrift::protocol::TCompactProtocolT<Buffer> protocol(buffer, kMaxMessageBytes,
                                                                 kMaxMessageBytes);
    T value;
    value.read(&protocol);
    if (buffer->available_read() != 0) throw CodecError("message has trailing bytes");
    return value;
  } catch (const apache::thrift::TException& e) {
    throw CodecError(std::string("message does not decode: ") + e.what());
  }
}

}  // namespace wagtailslip::codec
