#pragma once

#include <string>
#include <string_view>

#include "wagtailslip/base/error.h"
#include "wagtailslip/net/http_server.h"

namespace wagtailslip::process {

/// Failure of an HTTP call, in the shape that every error answer has.
class ApiError : public Error {
 public:
  ApiError(unsigned status, std::string code, const std::string& message, std::string field = "")
      : Error(message), status_(status), code_(std::move(code)), field_(std::move(field)) {}
  unsigned status() const { return status_; }
  const std::string& code() const { return code_; }
  const std::string& field() const { return field_; }

 private:
  unsigned status_;
  std::string code_;
  std::string field_;
};

/// JSON text of an error answer.
std::string FormatError(std::string_view code, std::string_view message, std::string_view field,
                        std::string_view request_id);

/// Sends an error answer.
net::Task<void> RespondError(net::HttpExchange& exchange, ApiError error, std::string request_id,
                             net::HttpHeaders headers = {});

}  // namespace wagtailslip::process
