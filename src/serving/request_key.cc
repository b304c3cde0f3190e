#include "wagtailslip/serving/request_key.h"

#include <charconv>
#include <iomanip>
#include <sstream>

#include "wagtailslip/base/digest.h"

namespace wagtailslip::serving {
namespace {

constexpr std::size_t kPrehashDigits = 16;
constexpr std::size_t kDigestDigits = 32;

}  // namespace

std::uint64_t RequestPrehash(const RequestIdentity& request) {
  const std::uint64_t account = Hash64(request.account, request.body.size());
  return Hash64(request.target, Hash64(request.method, account));
}

std::string RequestKey(const RequestIdentity& request) {
  // SHA-256, so that no caller can find a request with the key of another caller's. Lengths keep
  // fields from running into each other.
  Sha256Stream digest;
  for (const std::string_view field :
       {request.account, request.method, request.target, request.body}) {
    digest.Update(std::to_string(field.size()) + ":");
    digest.Update(field);
  }
  std::ostringstream key;
  key << std::hex << std::setw(kPrehashDigits) << std::setfill('0') << RequestPrehash(request);
  return key.str() + digest.Finish().Hex().substr(0, kDigestDigits);
}

std::uint64_t PrehashOfKey(std::string_view key) {
  if (key.size() != kPrehashDigits + kDigestDigits) return 0;
  std::uint64_t prehash = 0;
  const char* const end = key.data() + kPrehashDigits;
  const auto [rest, ec] = std::from_chars(key.data(), end, prehash, 16);
  return ec == std::errc() && rest == end ? prehash : 0;
}

}  // namespace wagtailslip::serving
