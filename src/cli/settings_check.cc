#include "wagtailslip/cli/settings_check.h"

#include <algorithm>
#include <cctype>
#include <filesystem>

#include "wagtailslip/net/address.h"
#include "wagtailslip/net/error.h"
#include "wagtailslip/process/access.h"

namespace wagtailslip::cli {
namespace {

constexpr const char* kIdForm = "1 to 64 letters, digits, '-', '_' or '.'";
constexpr const char* kAddressForm = "an IP number and a port, such as 127.0.0.1:8080";

bool IsId(const std::string& text) {
  return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
  });
}

bool IsAddress(const std::string& text) {
  try {
    net::ParseAddress(text);
    return true;
  } catch (const net::NetError&) {
    return false;
  }
}

class Checker {
 public:
  void Id(const std::string& setting, const std::string& value) {
    if (!IsId(value)) faults_.push_back({setting, value, kIdForm});
  }
  void Address(const std::string& setting, const std::string& value) {
    if (!IsAddress(value)) faults_.push_back({setting, value, kAddressForm});
  }
  void Folder(const std::string& setting, const std::string& value) {
    std::error_code ec;
    std::filesystem::create_directories(value, ec);
    if (ec || !std::filesystem::is_directory(value)) {
      faults_.push_back({setting, value, "a folder that exists or can be created"});
    }
  }
  void File(const std::string& setting, const std::string& value) {
    if (!value.empty() && !std::filesystem::is_regular_file(value)) {
      faults_.push_back({setting, value, "a file that exists"});
    }
  }
  void Require(bool condition, const std::string& setting, const std::string& value,
               const std::string& allowed) {
    if (!condition) faults_.push_back({setting, value, allowed});
  }
  std::vector<SettingFault> Take() { return std::move(faults_); }

 private:
  std::vector<SettingFault> faults_;
};

}  // namespace

std::vector<SettingFault> CheckSettings(const process::EntrySettings& settings) {
  Checker check;
  check.Id("--id", settings.id);
  check.Address("--listen", settings.listen);
  check.Address("--peer-listen", settings.peer_listen);
  check.Id("--region", settings.region);
  check.Id("--failure-domain", settings.failure_domain);
  if (!settings.data_folder.empty()) check.Folder("--data", settings.data_folder);
  for (const auto& [id, address] : settings.voters) {
    check.Id("--voter", id);
    check.Address("--voter", address);
  }
  for (const auto& [id, address] : settings.peers) {
    check.Id("--peer", id);
    check.Address("--peer", address);
  }
  check.Require(!settings.voters.empty(), "--voter", "", "at least one id=ip:port");
  check.Require(settings.voters.size() % 2 == 1, "--voter",
                std::to_string(settings.voters.size()) + " voters", "an odd number of voters");
  check.Require(!settings.voters.contains(settings.id) || !settings.data_folder.empty(), "--data",
                "", "a voter needs a data folder");
  check.File("--access", settings.access_file);
  if (!settings.access_file.empty()) {
    try {
      process::Access::FromFile(settings.access_file);
    } catch (const process::AccessError& e) {
      check.Require(false, "--access", settings.access_file, e.what());
    }
  }
  return check.Take();
}

std::vector<SettingFault> CheckSettings(const process::AgentSettings& settings) {
  Checker check;
  check.Id("--id", settings.endpoint.endpoint_id);
  check.Address("--endpoint", settings.endpoint.address);
  check.Id("--model", settings.endpoint.model);
  check.Id("--region", settings.endpoint.region);
  check.Id("--failure-domain", settings.endpoint.failure_domain);
  check.Address("--listen", settings.listen);
  check.Address("--peer-listen", settings.peer_listen);
  check.Require(!settings.entries.empty(), "--entry", "", "at least one ip:port");
  for (const auto& it : settings.entries) check.Address("--entry", it);
  check.Folder("--data", settings.data_folder);
  return check.Take();
}

std::string FormatFaults(const std::vector<SettingFault>& faults) {
  std::string text = "settings are not valid:";
  for (const auto& it : faults) {
    text += "\n  " + it.setting + " '" + it.value + "': " + it.allowed;
  }
  return text;
}

}  // namespace wagtailslip::cli
