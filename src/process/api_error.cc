#include "api_error.h"

#include <nlohmann/json.hpp>

namespace wagtailslip::process {

std::string FormatError(std::string_view code, std::string_view message, std::string_view field,
                        std::string_view request_id) {
  nlohmann::ordered_json error;
  error["code"] = code;
  error["message"] = message;
  error["field"] = field;
  error["request_id"] = request_id;
  nlohmann::ordered_json body;
  body["error"] = std::move(error);
  return body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

net::Task<void> RespondError(net::HttpExchange& exchange, ApiError error, std::string request_id,
                             net::HttpHeaders headers) {
  std::string body = FormatError(error.code(), error.what(), error.field(), request_id);
  headers.emplace_back("X-Request-Id", request_id);
  co_await exchange.Respond(error.status(), std::move(body), std::move(headers));
}

}  // namespace wagtailslip::process
