#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/time.h"
#include "wagtailslip/net/asio.h"

namespace wagtailslip::tools {

/// What a request asks for.
enum class RequestType { kStream, kChat, kCall, kLookup };
inline constexpr EnumTable<RequestType, 4> kRequestTypes{{{{RequestType::kStream, "stream"},
                                                           {RequestType::kChat, "chat"},
                                                           {RequestType::kCall, "call"},
                                                           {RequestType::kLookup, "lookup"}}}};

/// One kind of request in the mix.
struct KindSettings {
  std::string name;
  double weight = 1;
  RequestType type = RequestType::kChat;
  std::string model = "model";
  std::string service = "service";
  std::string call = "call";
  std::uint64_t max_tokens = 16;
  /// Prompts start with one of `prefixes` texts of `prompt_bytes` bytes.
  std::uint64_t prompt_bytes = 512;
  std::uint64_t prefixes = 8;
  std::uint64_t deadline_ms = 30'000;
};

/// One client account.
struct AccountSettings {
  std::string name;
  /// Requests per second.
  double rate = 1;
  std::string api_key;
};

/// Settings of a run.
struct LoadSettings {
  /// Fixed addresses; empty if `directories` are asked.
  std::vector<net::tcp::endpoint> targets;
  /// Addresses that are asked for `GET /v1/addresses`.
  std::vector<net::tcp::endpoint> directories;
  /// Region whose addresses are preferred; empty for none.
  std::string region;
  std::vector<AccountSettings> accounts;
  std::vector<KindSettings> kinds;
  std::uint64_t seed = 1;
  double seconds = 10;
  std::uint64_t max_in_flight = 1000;
  /// Times that an at-most-once call without a final answer is sent again with its key.
  std::uint64_t resend = 0;
  /// Times that another request is sent again after `not-run` or a refused connection.
  std::uint64_t retry = 0;
  /// The targets are endpoints rather than the system.
  bool direct = false;
  /// The id in a body may differ from the request's.
  bool accept_engine_ids = false;
  /// Each request uses a new connection.
  bool fresh_connections = false;
  /// File for one line `key outcome` for each at-most-once call; empty for none.
  std::string keys_file;
};

/// Parses `name:weight:type[:option=value...]`.
/// @throws ToolError that names the part at fault
KindSettings ParseKind(std::string_view text);
/// Parses `name:rate[:api key]`; the key is the name if it is absent.
AccountSettings ParseAccount(std::string_view text);
/// Parses an address.
/// @throws ToolError if it is not a loopback address
net::tcp::endpoint ParseLoopback(std::string_view text);

}  // namespace wagtailslip::tools
