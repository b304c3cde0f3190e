#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailslip::serving {

/// What makes two requests the same: a client account that repeats one sends all of this again.
struct RequestIdentity {
  std::string_view account;
  std::string_view method;
  /// Path with query.
  std::string_view target;
  std::string_view body;
};

/// Cheap hash of everything but the contents of the body. Different requests may share it.
std::uint64_t RequestPrehash(const RequestIdentity& request);

/// Key of a request: its prehash and a part of its SHA-256, as 48 hexadecimal digits.
/// @throws Error if the library refuses
std::string RequestKey(const RequestIdentity& request);

/// The prehash in a key; 0 if the text is no key.
std::uint64_t PrehashOfKey(std::string_view key);

}  // namespace wagtailslip::serving
