#include "load/load_settings.h"

#include <charconv>
#include <cstdlib>
#include <map>
#include <sstream>

#include "common/faults.h"
#include "wagtailslip/net/address.h"

namespace wagtailslip::tools {
namespace {

constexpr double kMaxRate = 1e6;

std::vector<std::string> SplitColons(std::string_view text) {
  std::vector<std::string> parts;
  std::istringstream stream{std::string(text)};
  for (std::string part; std::getline(stream, part, ':');) parts.push_back(part);
  return parts;
}

[[noreturn]] void RaisePart(std::string_view whole, std::string_view part) {
  throw ToolError("'" + std::string(whole) + "': '" + std::string(part) + "' is not valid");
}

double ParsePositive(std::string_view whole, const std::string& text) {
  char* end = nullptr;
  const double value = std::strtod(text.c_str(), &end);
  if (text.empty() || *end != '\0' || !(value > 0 && value <= kMaxRate)) RaisePart(whole, text);
  return value;
}

const std::map<std::string, std::string KindSettings::*, std::less<>> kTextOptions{
    {"model", &KindSettings::model},
    {"service", &KindSettings::service},
    {"call", &KindSettings::call}};

const std::map<std::string, std::uint64_t KindSettings::*, std::less<>> kNumberOptions{
    {"max_tokens", &KindSettings::max_tokens},
    {"prompt_bytes", &KindSettings::prompt_bytes},
    {"prefixes", &KindSettings::prefixes},
    {"deadline_ms", &KindSettings::deadline_ms}};

void ParseOption(KindSettings& kind, std::string_view whole, const std::string& part) {
  const auto equals = part.find('=');
  if (equals == std::string::npos) RaisePart(whole, part);
  const std::string name = part.substr(0, equals);
  const std::string value = part.substr(equals + 1);
  const auto text = kTextOptions.find(name);
  if (text != kTextOptions.end() && !value.empty()) {
    kind.*text->second = value;
    return;
  }
  const auto number = kNumberOptions.find(name);
  if (number == kNumberOptions.end()) RaisePart(whole, part);
  constexpr std::uint64_t kMaxNumber = 10'000'000;
  std::uint64_t parsed = 0;
  const auto [end, problem] = std::from_chars(value.data(), value.data() + value.size(), parsed);
  const bool whole_number = problem == std::errc() && end == value.data() + value.size();
  if (!whole_number || parsed == 0 || parsed > kMaxNumber) RaisePart(whole, part);
  kind.*number->second = parsed;
}

}  // namespace

KindSettings ParseKind(std::string_view text) {
  const auto parts = SplitColons(text);
  if (parts.size() < 3 || parts[0].empty()) {
    throw ToolError("kind '" + std::string(text) + "' is not name:weight:type");
  }
  KindSettings kind;
  kind.name = parts[0];
  kind.weight = ParsePositive(text, parts[1]);
  const auto type = kRequestTypes.Find(parts[2]);
  if (!type) RaisePart(text, parts[2]);
  kind.type = *type;
  for (std::size_t i = 3; i < parts.size(); ++i) ParseOption(kind, text, parts[i]);
  return kind;
}

AccountSettings ParseAccount(std::string_view text) {
  const auto parts = SplitColons(text);
  if (parts.size() < 2 || parts.size() > 3 || parts[0].empty()) {
    throw ToolError("account '" + std::string(text) + "' is not name:rate[:key]");
  }
  AccountSettings account;
  account.name = parts[0];
  account.rate = ParsePositive(text, parts[1]);
  account.api_key = parts.size() == 3 ? parts[2] : parts[0];
  return account;
}

net::tcp::endpoint ParseLoopback(std::string_view text) {
  auto address = net::ParseAddress(text);
  if (!address.address().is_loopback()) {
    throw ToolError(std::string(text) + " is not a loopback address");
  }
  return address;
}

}  // namespace wagtailslip::tools
