#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "load/load_settings.h"
#include "wagtailslip/net/http_client.h"

namespace wagtailslip::tools {

/// Answer of `GET /v1/addresses`.
struct AddressAnswer {
  std::vector<net::tcp::endpoint> addresses;
  /// Those of the preferred region.
  std::vector<net::tcp::endpoint> near;
  Duration max_age{};
};

/// Parses the answer of `GET /v1/addresses`.
/// @throws ToolError if it is malformed or names an address that is not loopback
AddressAnswer ParseAddresses(std::string_view text, const std::string& region);

/// The addresses that requests go to: a fixed list, or the list that the system names, which is
/// asked for again when its time has passed.
class AddressBook {
 public:
  explicit AddressBook(const LoadSettings& settings);

  /// Asks until `stop` is set.
  /// @param stop read between two questions
  net::Task<void> Follow(const bool& stop);
  /// An address, if possible another than the one that failed.
  /// @return nothing while no address is known
  std::optional<net::tcp::endpoint> Pick(std::optional<net::tcp::endpoint> failed = {});
  std::uint64_t refreshes() const { return refreshes_; }
  std::uint64_t failures() const { return failures_; }

 private:
  net::Task<bool> Refresh();

  std::vector<net::tcp::endpoint> directories_;
  std::string region_;
  AddressAnswer current_;
  std::mt19937_64 random_;
  std::uint64_t refreshes_ = 0;
  std::uint64_t failures_ = 0;
};

}  // namespace wagtailslip::tools
