#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "load/address_book.h"
#include "load/answer_check.h"
#include "load/connections.h"
#include "load/load_settings.h"
#include "load/recorder.h"

namespace wagtailslip::tools {

/// One run of open-loop load: requests are sent at their intended times, whether or not earlier
/// ones have been answered, and latency counts from the intended time.
class LoadRun {
 public:
  /// @throws ToolError if the file of keys can't be written
  explicit LoadRun(const LoadSettings& settings);

  /// Sends for the set time and waits for the answers in flight.
  net::Task<void> Run();
  /// Ends the sending early.
  void Stop() { stop_ = true; }
  nlohmann::json ToJson() const;
  std::uint64_t violations() const { return total_.violations; }
  std::uint64_t complete() const;

 private:
  /// One request and what is known of it.
  struct Request {
    const AccountSettings* account;
    const KindSettings* kind;
    Expectation expected;
    std::string body;
    TimePoint intended;
    std::optional<net::tcp::endpoint> failed;
  };
  /// What one attempt led to.
  struct Attempt {
    Ending ending = Ending::kError;
    std::optional<Violation> violation;
    Duration retry_after{};
    std::vector<TimePoint> token_times;
  };

  net::Task<void> SendForAccount(std::size_t index);
  net::Task<void> SendOne(Request request);
  net::Task<Attempt> Try(Request& request);
  net::Task<Attempt> Exchange(const Request& request, net::HttpConnection& connection);
  net::Task<void> ReadStream(const Request& request, net::HttpConnection& connection,
                             const net::HttpResponse& header, Attempt& attempt);
  Request MakeRequest(std::size_t account, std::uint64_t number, std::mt19937_64& random,
                      TimePoint intended) const;
  net::HttpRequest ToHttp(const Request& request) const;
  bool MayRepeat(const Request& request, const Attempt& attempt, std::uint64_t attempts) const;
  void Finish(const Request& request, const Attempt& attempt, TimePoint end);
  template <typename F>
  void ForRows(const AccountSettings& account, const KindSettings& kind, F change);

  LoadSettings settings_;
  AddressBook book_;
  Connections connections_;
  std::ofstream keys_;
  Row total_;
  std::map<std::string, Row> by_account_;
  std::map<std::string, Row> by_kind_;
  std::map<Violation, std::uint64_t> violations_;
  std::vector<std::string> examples_;
  std::uint64_t in_flight_ = 0;
  std::uint64_t in_flight_max_ = 0;
  std::size_t senders_ = 0;
  TimePoint start_;
  bool stop_ = false;
  bool done_ = false;
};

/// Table of a run's JSON report.
std::string FormatTable(const nlohmann::json& report);

}  // namespace wagtailslip::tools
