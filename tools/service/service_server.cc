#include "service/service_server.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

#include "common/pacing.h"
#include "common/token_text.h"

namespace wagtailslip::tools {
namespace {

constexpr std::string_view kCallPrefix = "/call/";
constexpr std::string_view kLookupPrefix = "/lookup/";
constexpr Duration kSlotPoll = std::chrono::milliseconds(1);

}  // namespace

const std::vector<std::string_view>& ServiceServer::FaultNames() {
  static const std::vector<std::string_view> kNames{
      "delay_ms", "stall", "fail", "refuse", "corrupt", "die", "die_after", "cross", "lose_answer"};
  return kNames;
}

ServiceServer::ServiceServer(const ServiceSettings& settings)
    : ToolServer(FaultNames(), settings.server),
      settings_(settings),
      lookups_(settings.lookups.begin(), settings.lookups.end()),
      history_(std::chrono::milliseconds(settings.report_lag_ms)) {
  if (!settings_.journal.empty()) {
    journal_ = open(settings_.journal.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (journal_ < 0) throw ToolError("cannot open journal " + settings_.journal);
  }
  using net::http::verb;
  Route(verb::post, std::string(kCallPrefix), [this](auto& exchange) { return Call(exchange); });
  Route(verb::get, std::string(kLookupPrefix), [this](auto& exchange) { return Lookup(exchange); });
  Route(verb::get, "/executions", [this](auto& exchange) { return ListExecutions(exchange); });
  Route(verb::get, "/admin/load-report", [this](auto& exchange) { return ReportLoad(exchange); });
}

ServiceServer::~ServiceServer() {
  if (journal_ >= 0) close(journal_);
}

Json ServiceServer::Counters() const {
  std::uint64_t most = 0;
  std::uint64_t repeated = 0;
  for (const auto& [key, n] : executions_by_key_) {
    most = std::max(most, n);
    repeated += n > 1 ? 1 : 0;
  }
  Json json;
  json["requests"] = requests_;
  json["executions"] = executions_;
  json["lookups"] = lookup_count_;
  json["keys"] = executions_by_key_.size();
  json["executions_per_key_max"] = most;
  json["keys_executed_more_than_once"] = repeated;
  json["executions_without_key"] = without_key_;
  json["answers_lost"] = answers_lost_;
  json["answers_crossed"] = answers_crossed_;
  json["executions_by_call"] = executions_by_call_;
  return json;
}

void ServiceServer::RecordLoad() {
  history_.Record(LoadSample{Now(), running_, queued_, completed_, 0});
}

net::Task<void> ServiceServer::Work() {
  ++queued_;
  RecordLoad();
  while (settings_.slots > 0 && running_ >= settings_.slots) co_await Sleep(kSlotPoll);
  --queued_;
  ++running_;
  RecordLoad();
  co_await Sleep(std::chrono::milliseconds(settings_.call_ms));
  --running_;
  ++completed_;
  RecordLoad();
}

void ServiceServer::Journal(const std::string& call, const std::string& key) {
  if (journal_ < 0) return;
  const std::string line = call + " " + key + "\n";
  // One write call, so that a line is whole even if the process is killed after it.
  if (write(journal_, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
    throw Error("cannot write journal " + settings_.journal);
  }
}

net::Task<void> ServiceServer::Call(net::HttpExchange& exchange) {
  const std::string name(exchange.path().substr(kCallPrefix.size()));
  if (lookups_.contains(name)) {
    co_await Lookup(exchange);
    co_return;
  }
  ++requests_;
  if (!co_await PassFaults(exchange)) co_return;
  co_await Work();
  const std::string key(exchange.Header("Idempotency-Key"));
  ++executions_;
  ++executions_by_call_[name];
  std::uint64_t execution = 1;
  if (key.empty()) {
    ++without_key_;
  } else {
    execution = ++executions_by_key_[key];
  }
  Journal(name, key);
  if (faults().Hit(&FaultValues::lose_answer)) {
    ++answers_lost_;
    // The server closes a connection whose handler raises this error, without an answer.
    throw net::NetError("answer lost by a fault switch");
  }
  Json body;
  body["call"] = name;
  body["service"] = settings_.name;
  body["request_id"] = std::string(exchange.Header("X-Request-Id"));
  body["idempotency_key"] = key;
  body["execution"] = execution;
  body["body_hash"] = ShortHash(exchange.request().body());
  co_await Answer(exchange, std::move(body));
}

net::Task<void> ServiceServer::Lookup(net::HttpExchange& exchange) {
  const std::string path(exchange.path());
  ++requests_;
  if (!co_await PassFaults(exchange)) co_return;
  co_await Work();
  ++lookup_count_;
  Json body;
  body["lookup"] = path.substr(path.find('/', 1) + 1);
  body["service"] = settings_.name;
  body["request_id"] = std::string(exchange.Header("X-Request-Id"));
  co_await Answer(exchange, std::move(body));
}

net::Task<void> ServiceServer::Answer(net::HttpExchange& exchange, Json body) {
  if (faults().Hit(&FaultValues::cross) && co_await cross_.Swap(body)) ++answers_crossed_;
  net::HttpHeaders headers{{"X-Request-Id", body["request_id"].get<std::string>()}};
  std::string text = body.dump();
  if (faults().Hit(&FaultValues::corrupt)) text.resize(text.size() / 2);
  co_await exchange.Respond(200, std::move(text), std::move(headers));
}

net::Task<void> ServiceServer::ListExecutions(net::HttpExchange& exchange) {
  const Json json(executions_by_key_);
  co_await exchange.Respond(200, json.dump());
}

net::Task<void> ServiceServer::ReportLoad(net::HttpExchange& exchange) {
  const LoadSample sample = history_.Report(Now());
  Json json;
  json["running"] = sample.running;
  json["queued"] = sample.queued;
  json["slots"] = settings_.slots;
  json["completed"] = sample.completed;
  co_await exchange.Respond(200, json.dump());
}

}  // namespace wagtailslip::tools
