#include "wagtailslip/base/digest.h"

#include <openssl/evp.h>
#include <xxhash.h>

#include "wagtailslip/base/error.h"

namespace wagtailslip {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

int HexValue(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

}  // namespace

std::string Digest::Hex() const {
  std::string text;
  text.reserve(2 * bytes.size());
  for (const std::uint8_t b : bytes) {
    text.push_back(kHexDigits[b >> 4]);
    text.push_back(kHexDigits[b & 15]);
  }
  return text;
}

std::optional<Digest> Digest::FromHex(std::string_view text) {
  Digest digest;
  if (text.size() != 2 * digest.bytes.size()) return std::nullopt;
  for (std::size_t i = 0; i < digest.bytes.size(); ++i) {
    const int high = HexValue(text[2 * i]);
    const int low = HexValue(text[2 * i + 1]);
    if (high < 0 || low < 0) return std::nullopt;
    digest.bytes[i] = static_cast<std::uint8_t>(high << 4 | low);
  }
  return digest;
}

Digest Sha256(std::string_view data) {
  Digest digest;
  if (EVP_Digest(data.data(), data.size(), digest.bytes.data(), nullptr, EVP_sha256(), nullptr) !=
      1) {
    throw Error("SHA-256 failed");
  }
  return digest;
}

Sha256Stream::Sha256Stream() : context_(EVP_MD_CTX_new()) {
  if (context_ == nullptr ||
      EVP_DigestInit_ex(static_cast<EVP_MD_CTX*>(context_), EVP_sha256(), nullptr) != 1) {
    throw Error("SHA-256 could not be started");
  }
}

Sha256Stream::~Sha256Stream() { EVP_MD_CTX_free(static_cast<EVP_MD_CTX*>(context_)); }

void Sha256Stream::Update(std::string_view data) {
  if (EVP_DigestUpdate(static_cast<EVP_MD_CTX*>(context_), data.data(), data.size()) != 1) {
    throw Error("SHA-256 update failed");
  }
}

Digest Sha256Stream::Finish() {
  Digest digest;
  if (EVP_DigestFinal_ex(static_cast<EVP_MD_CTX*>(context_), digest.bytes.data(), nullptr) != 1) {
    throw Error("SHA-256 could not be finished");
  }
  return digest;
}

std::uint64_t Hash64(std::string_view data, std::uint64_t seed) {
  return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

}  // namespace wagtailslip
