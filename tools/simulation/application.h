#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "wagtailslip/agreement/types.h"

namespace wagtailslip::simulation {

/// A client's request. A resend has the same client and sequence number.
struct Request {
  std::uint32_t client = 0;
  std::uint64_t sequence = 0;

  auto operator<=>(const Request&) const = default;
};

std::string EncodeRequest(const Request& request);
std::optional<Request> DecodeRequest(std::string_view data);

/// A small state machine with client sessions: a new request gets the next ordinal as its result,
/// and a resend gets the same result again.
class Application {
 public:
  /// Applies a committed entry.
  /// @return the request in the entry and its result; nullopt if the entry carries no request or
  ///     one that is older than the client's last
  std::optional<std::pair<Request, std::uint64_t>> Apply(const agreement::Entry& entry);
  std::string Snapshot() const;
  void Restore(agreement::Index index, std::string_view data);

  agreement::Index applied() const { return applied_; }
  /// Hash of all applied entries, in order.
  std::uint64_t hash() const { return hash_; }
  std::uint64_t ordinal() const { return ordinal_; }

 private:
  struct Session {
    std::uint64_t sequence = 0;
    std::uint64_t result = 0;
  };
  agreement::Index applied_ = 0;
  std::uint64_t hash_ = 0;
  std::uint64_t ordinal_ = 0;
  std::map<std::uint32_t, Session> sessions_;
};

}  // namespace wagtailslip::simulation
