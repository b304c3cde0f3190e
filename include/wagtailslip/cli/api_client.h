#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "wagtailslip/base/error.h"
#include "wagtailslip/base/time.h"
#include "wagtailslip/cli/exit_code.h"
#include "wagtailslip/net/http_client.h"

namespace wagtailslip::cli {

/// Failure of an operator command, with the exit status that belongs to it.
class CommandError : public Error {
 public:
  CommandError(ExitCode code, const std::string& message) : Error(message), code_(code) {}
  ExitCode code() const { return code_; }

 private:
  ExitCode code_;
};

/// Calls the administration API on the first entry process that answers.
class ApiClient {
 public:
  /// @param entries addresses "ip:port"
  /// @param token bearer token; empty for none
  /// @param timeout limit for each call
  ApiClient(std::vector<std::string> entries, std::string token, Duration timeout);

  /// @return the answer's JSON
  /// @throws CommandError with the API's message for a status other than 2xx
  nlohmann::json Get(const std::string& target);
  nlohmann::json Send(net::http::verb method, const std::string& target, const std::string& body,
                      const std::string& content_type = "application/json");
  /// The answer's text as it is.
  std::string GetText(const std::string& target);

 private:
  net::HttpResponse Call(net::http::verb method, const std::string& target, const std::string& body,
                         const std::string& content_type);

  std::vector<std::string> entries_;
  std::string token_;
  Duration timeout_;
};

}  // namespace wagtailslip::cli
