#include "wagtailslip/cli/api_client.h"

#include "wagtailslip/net/address.h"

namespace wagtailslip::cli {
namespace {

struct StatusRow {
  unsigned status;
  ExitCode code;
};

constexpr StatusRow kStatusRows[] = {
    {401, ExitCode::kUnauthorized}, {403, ExitCode::kUnauthorized}, {404, ExitCode::kNotFound},
    {409, ExitCode::kConflict},     {500, ExitCode::kInternal},     {503, ExitCode::kUnreachable},
};

ExitCode CodeOf(unsigned status) {
  for (const auto& row : kStatusRows) {
    if (row.status == status) return row.code;
  }
  return ExitCode::kRejected;
}

std::string MessageOf(const net::HttpResponse& response) {
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  if (!body.is_object() || !body.contains("error")) {
    return "status " + std::to_string(response.status);
  }
  const auto& error = body["error"];
  std::string text = error.value("code", "") + ": " + error.value("message", "");
  if (const auto field = error.value("field", ""); !field.empty()) text += " (field " + field + ")";
  for (const auto& fault : error.value("faults", nlohmann::json::array())) {
    text += "\n  row " + std::to_string(fault.value("row", 0)) + ", column " +
            fault.value("column", "") + ": " + fault.value("message", "");
  }
  return text;
}

}  // namespace

ApiClient::ApiClient(std::vector<std::string> entries, std::string token, Duration timeout)
    : entries_(std::move(entries)), token_(std::move(token)), timeout_(timeout) {}

net::HttpResponse ApiClient::Call(net::http::verb method, const std::string& target,
                                  const std::string& body, const std::string& content_type) {
  std::string last = "no entry address is given";
  for (const auto& entry : entries_) {
    net::HttpHeaders headers{{"Content-Type", content_type}};
    if (!token_.empty()) headers.emplace_back("Authorization", "Bearer " + token_);
    net::asio::io_context context(1);
    std::exception_ptr problem;
    net::HttpResponse response;
    net::asio::co_spawn(context,
                        net::CallOnce(net::ParseAddress(entry),
                                      net::MakeRequest(method, target, body, headers), timeout_),
                        [&](const std::exception_ptr& e, net::HttpResponse result) {
                          problem = e;
                          response = std::move(result);
                        });
    context.run();
    try {
      if (problem) std::rethrow_exception(problem);
      // 503 means that this process cannot serve the call now; another one may.
      if (response.status != 503) return response;
      last = entry + ": " + MessageOf(response);
    } catch (const net::NetError& e) {
      last = entry + ": " + e.what();
    }
  }
  throw CommandError(ExitCode::kUnreachable, last);
}

nlohmann::json ApiClient::Get(const std::string& target) {
  return Send(net::http::verb::get, target, "");
}

nlohmann::json ApiClient::Send(net::http::verb method, const std::string& target,
                               const std::string& body, const std::string& content_type) {
  const auto response = Call(method, target, body, content_type);
  if (response.status / 100 != 2) {
    throw CommandError(CodeOf(response.status), MessageOf(response));
  }
  auto json = nlohmann::json::parse(response.body, nullptr, false);
  if (json.is_discarded()) throw CommandError(ExitCode::kInternal, "the answer is not JSON");
  return json;
}

std::string ApiClient::GetText(const std::string& target) {
  const auto response = Call(net::http::verb::get, target, "", "application/json");
  if (response.status / 100 != 2) {
    throw CommandError(CodeOf(response.status), MessageOf(response));
  }
  return response.body;
}

}  // namespace wagtailslip::cli
