#include "load/address_book.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "common/faults.h"
#include "common/pacing.h"

namespace wagtailslip::tools {
namespace {

constexpr Duration kAskTimeout = std::chrono::seconds(2);
constexpr Duration kRetryInterval = std::chrono::milliseconds(200);
constexpr double kMinAgeSeconds = 0.05;
constexpr double kMaxAgeSeconds = 300;

}  // namespace

AddressAnswer ParseAddresses(std::string_view text, const std::string& region) {
  AddressAnswer answer;
  try {
    const auto json = nlohmann::json::parse(text);
    for (const auto& row : json.at("addresses")) {
      const auto address = ParseLoopback(row.at("address").get<std::string>());
      answer.addresses.push_back(address);
      if (row.value("region", "") == region) answer.near.push_back(address);
    }
    const double age = json.at("max_age_seconds").get<double>();
    answer.max_age = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::clamp(age, kMinAgeSeconds, kMaxAgeSeconds)));
  } catch (const nlohmann::json::exception& e) {
    throw ToolError(std::string("addresses: ") + e.what());
  } catch (const net::NetError& e) {
    throw ToolError(std::string("addresses: ") + e.what());
  }
  return answer;
}

AddressBook::AddressBook(const LoadSettings& settings)
    : directories_(settings.directories), region_(settings.region), random_(settings.seed) {
  current_.addresses = settings.targets;
}

net::Task<void> AddressBook::Follow(const bool& stop) {
  while (!stop) {
    const bool refreshed = co_await Refresh();
    const TimePoint due = Now() + (refreshed ? current_.max_age : kRetryInterval);
    while (!stop && Now() < due) co_await Sleep(std::min(kRetryInterval, due - Now()));
  }
}

net::Task<bool> AddressBook::Refresh() {
  // Known addresses come first; the configured ones serve for the start and as a last resort.
  std::vector<net::tcp::endpoint> sources = current_.addresses;
  std::shuffle(sources.begin(), sources.end(), random_);
  sources.insert(sources.end(), directories_.begin(), directories_.end());
  for (const auto& source : sources) {
    try {
      net::HttpRequest request = net::MakeRequest(net::http::verb::get, "/v1/addresses");
      const auto answer = co_await net::CallOnce(source, std::move(request), kAskTimeout);
      if (answer.status != 200) throw ToolError("addresses: status is not 200");
      current_ = ParseAddresses(answer.body, region_);
      ++refreshes_;
      co_return true;
    } catch (const Error&) {
      ++failures_;
    }
  }
  co_return false;
}

std::optional<net::tcp::endpoint> AddressBook::Pick(std::optional<net::tcp::endpoint> failed) {
  auto choices = current_.near.empty() ? current_.addresses : current_.near;
  if (failed && std::erase(choices, *failed) > 0 && choices.empty()) {
    choices = current_.addresses;
    std::erase(choices, *failed);
    if (choices.empty()) return failed;
  }
  if (choices.empty()) return std::nullopt;
  return choices[std::uniform_int_distribution<std::size_t>(0, choices.size() - 1)(random_)];
}

}  // namespace wagtailslip::tools
