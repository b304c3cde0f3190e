#include "admin_api.h"

#include <charconv>

#include "api_error.h"
#include "body_reader.h"
#include "wagtailslip/codec/manifest_codec.h"
#include "wagtailslip/net/address.h"
#include "wagtailslip/process/clock.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::process {
namespace {

using net::Task;
using net::http::verb;

constexpr Duration kCommitTimeout = std::chrono::seconds(8);
constexpr Duration kOriginTimeout = std::chrono::seconds(5);
constexpr Duration kInForceWait = std::chrono::seconds(8);
constexpr Duration kInForcePoll = std::chrono::milliseconds(20);
constexpr std::size_t kLongestName = 128;

std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> parts;
  while (!path.empty()) {
    path.remove_prefix(path.starts_with('/') ? 1 : 0);
    const auto end = path.find('/');
    parts.emplace_back(path.substr(0, end));
    if (end == std::string_view::npos) break;
    path.remove_prefix(end);
  }
  return parts;
}

config::CommandId ReadCommand(BodyReader& body, const Operator& op) {
  config::CommandId command;
  command.request_id = body.Text("request_id");
  if (command.request_id.size() > kLongestName) {
    throw ApiError(400, "invalid_value", "at most 128 characters are allowed", "request_id");
  }
  command.base_revision = body.Number("base_revision", 0, 0, UINT64_MAX);
  command.seen_revision = body.Number("seen_revision", 0, 0, UINT64_MAX);
  command.operator_name = op.name;
  return command;
}

/// Frame counters in Prometheus text form.
std::string FrameMetrics(const net::PeerCounters& counters) {
  const std::pair<const char*, std::uint64_t> rows[] = {
      {"frames_sent_total", counters.frames_sent},
      {"frames_received_total", counters.frames_received},
      {"frames_dropped_total", counters.frames_dropped},
      {"frame_bytes_sent_total", counters.bytes_sent},
      {"frame_bytes_received_total", counters.bytes_received}};
  std::string text;
  for (const auto& [name, value] : rows) {
    text += std::string("# TYPE wagtailslip_") + name + " counter\nwagtailslip_" + name + " " +
            std::to_string(value) + "\n";
  }
  return text;
}

void RequireScope(const Operator& op, const std::string& object) {
  if (op.MayChange(object)) return;
  throw ApiError(403, "forbidden", "operator '" + op.name + "' may not change '" + object + "'");
}

void RequireMethod(const net::HttpExchange& exchange, verb method) {
  if (exchange.request().method() == method) return;
  throw ApiError(405, "method_not_allowed",
                 "use " + std::string(net::http::to_string(method)) + " for this path");
}

}  // namespace

Task<void> AdminApi::Handle(net::HttpExchange& exchange) {
  std::optional<ApiError> error;
  try {
    const auto path = exchange.path();
    if (path == "/metrics") {
      const std::string text = shared_.metrics.Text() + FrameMetrics(shared_.frames());
      co_await exchange.Respond(200, text, {}, "text/plain; version=0.0.4");
      co_return;
    }
    const auto op = shared_.access.FindOperator(exchange.Header("Authorization"));
    if (!op) throw ApiError(401, "unauthorized", "the operator token is missing or unknown");
    co_await Route(exchange, *op);
  } catch (const ApiError& e) {
    error = e;
  }
  if (!error) co_return;
  if (error->status() == 401 || error->status() == 403) {
    LogEvent(Event::kOperatorRefused,
             {{"path", std::string(exchange.path())}, {"code", error->code()}});
  }
  const std::string request_id(exchange.Header("X-Request-Id"));
  co_await RespondError(exchange, *error, request_id);
}

AdminApi::View AdminApi::FindView(const net::HttpExchange& exchange) const {
  const auto parts = SplitPath(exchange.path());
  const std::string path(exchange.path());
  if (path == "/v1/rollouts") return [](const auto& c, TimePoint) { return ViewRollouts(c); };
  if (path == "/v1/sheets") return [](const auto& c, TimePoint) { return ViewSheet(c); };
  if (path == "/v1/status") return [](const auto& c, TimePoint now) { return ViewStatus(c, now); };
  if (path == "/v1/lines") {
    return [model = exchange.Query("model"), adapter = exchange.Query("adapter")](
               const auto& c, TimePoint) { return ViewLine(c, model, adapter); };
  }
  if (path == "/v1/rules") {
    return [account = exchange.Query("account"), kind = exchange.Query("kind")](const auto& c,
                                                                                TimePoint) {
      return account.empty() ? ViewRules(c) : ViewRule(c, account, kind);
    };
  }
  if (parts.size() == 3 && path.starts_with("/v1/rollouts/")) {
    return [id = parts[2]](const auto& c, TimePoint now) { return ViewRollout(c, id, now); };
  }
  if (parts.size() == 3 && path.starts_with("/v1/endpoints/")) {
    return [id = parts[2]](const auto& c, TimePoint now) { return ViewEndpoint(c, id, now); };
  }
  return nullptr;
}

Task<void> AdminApi::Route(net::HttpExchange& exchange, const Operator& op) {
  const auto parts = SplitPath(exchange.path());
  const std::string path(exchange.path());
  const auto method = exchange.request().method();
  View view = method == verb::get ? FindView(exchange) : View();
  if (view) {
    co_await RespondView(exchange, std::move(view));
  } else if (path == "/v1/rollouts") {
    RequireMethod(exchange, verb::post);
    co_await CreateRollout(exchange, op);
  } else if (path == "/v1/rules") {
    RequireMethod(exchange, verb::put);
    co_await SetRule(exchange, op);
  } else if (path == "/v1/sheets") {
    RequireMethod(exchange, verb::post);
    co_await HandleSheet(exchange, op);
  } else if (parts.size() == 4 && path.starts_with("/v1/rollouts/")) {
    RequireMethod(exchange, verb::post);
    co_await ControlRollout(exchange, op, parts[2], parts[3]);
  } else if (parts.size() == 4 && path.starts_with("/v1/endpoints/") && parts[3] == "drain") {
    RequireMethod(exchange, verb::post);
    co_await Drain(exchange, op, parts[2]);
  } else if (parts.size() == 3 && path.starts_with("/v1/revisions/")) {
    co_await ShowRevision(exchange, parts[2]);
  } else if (path == "/debug/state") {
    co_await ShowDump(exchange);
  } else {
    throw ApiError(404, "unknown_path", "there is no path " + path);
  }
}

Task<void> AdminApi::RespondView(net::HttpExchange& exchange, View view) {
  const auto body = co_await shared_.control.Ask<Json>(view);
  if (!body) throw ApiError(503, "busy", "the control thread did not answer");
  if (body->is_null()) throw ApiError(404, "not_found", "there is no such object");
  co_await exchange.Respond(200, body->dump());
}

Task<void> AdminApi::Commit(net::HttpExchange& exchange, const Operator& op, config::Record record,
                            std::string request_id) {
  const auto result = co_await shared_.control.Propose(std::move(record), kCommitTimeout);
  if (!result) {
    // 504, not 503: the command may have been accepted, so the client must not treat it as refused.
    throw ApiError(504, "outcome_unknown",
                   "the command may have been accepted; resend it with the same request_id",
                   "request_id");
  }
  if (!result->ok()) {
    const bool conflict = result->first_status == config::ApplyStatus::kConflict;
    std::string message = result->message;
    if (conflict && !result->conflicting_request_id.empty()) {
      message = "command '" + result->conflicting_request_id +
                "' came first; the object is at revision " +
                std::to_string(result->object_revision);
    }
    const bool missing = result->code == "not_found";
    throw ApiError(conflict  ? 409
                   : missing ? 404
                             : 422,
                   conflict ? "conflict" : result->code, message, result->field);
  }
  LogEvent(Event::kOperatorCommand, {{"operator", op.name},
                                     {"request_id", request_id},
                                     {"object", result->object},
                                     {"revision", result->revision}});
  Json body;
  body["request_id"] = request_id;
  body["status"] = config::kApplyStatuses.Name(result->status);
  body["object"] = result->object;
  body["revision"] = result->revision;
  body["in_force"] = shared_.published.Load()->in_force >= result->revision;
  co_await exchange.Respond(200, body.dump());
}

Task<Digest> AdminApi::FetchRoot(std::string origin, std::string model, std::string version) {
  std::string problem;
  try {
    auto request = net::MakeRequest(verb::get, "/models/" + model + "/" + version + "/manifest");
    const auto response =
        co_await net::CallOnce(net::ParseAddress(origin), std::move(request), kOriginTimeout);
    if (response.status == 200) co_return codec::ParseManifest(response.body).root;
    problem = "status " + std::to_string(response.status);
  } catch (const Error& e) {
    problem = e.what();
  }
  throw ApiError(422, "origin_failed", "the origin has no valid manifest: " + problem, "origin");
}

Task<void> AdminApi::CreateRollout(net::HttpExchange& exchange, const Operator& op) {
  BodyReader body(exchange.request().body());
  config::CreateRollout record;
  record.command = ReadCommand(body, op);
  record.model = body.Text("model");
  record.version = body.Text("version");
  record.kind = body.Choice("kind", config::kArtifactKinds, config::ArtifactKind::kModel);
  record.adapter = body.Text("adapter", "");
  record.base_version = body.Text("base_version", "");
  record.origin = body.Text("origin");
  const std::string root = body.Text("root", "");
  record.policy = body.Choice("policy", config::kSpreadPolicies, config::SpreadPolicy::kTimeFirst);
  record.minimum_serving = static_cast<std::uint32_t>(body.Number("minimum_serving", 1, 0, 100000));
  record.batch_size = static_cast<std::uint32_t>(body.Number("batch_size", 1, 1, 100000));
  record.failure_limit = static_cast<std::uint32_t>(body.Number("failure_limit", 2, 1, 100000));
  body.Finish();
  RequireScope(op, record.model);
  try {
    net::ParseAddress(record.origin);
  } catch (const net::NetError& e) {
    throw ApiError(400, "invalid_value", e.what(), "origin");
  }
  if (root.empty()) {
    const bool adapter = record.kind == config::ArtifactKind::kAdapter;
    record.root =
        co_await FetchRoot(record.origin, adapter ? record.adapter : record.model, record.version);
  } else {
    const auto digest = Digest::FromHex(root);
    if (!digest) throw ApiError(400, "invalid_value", "64 hexadecimal digits are expected", "root");
    record.root = *digest;
  }
  const std::string request_id = record.command.request_id;
  co_await Commit(exchange, op, std::move(record), request_id);
}

Task<void> AdminApi::ControlRollout(net::HttpExchange& exchange, const Operator& op, std::string id,
                                    std::string action) {
  const auto value = config::kRolloutActions.Find(action);
  if (!value) throw ApiError(404, "unknown_action", "there is no rollout action '" + action + "'");
  BodyReader body(exchange.request().body());
  config::ControlRollout record;
  record.command = ReadCommand(body, op);
  body.Finish();
  record.rollout_id = id;
  record.action = *value;
  const std::function<std::string(const EntryControl&, TimePoint)> find_model =
      [id](const EntryControl& control, TimePoint) {
        const auto* rollout = control.machine().FindRollout(id);
        return rollout == nullptr ? std::string() : rollout->spec.model;
      };
  const auto model = co_await shared_.control.Ask<std::string>(find_model);
  if (!model) throw ApiError(503, "busy", "the control thread did not answer");
  if (model->empty()) throw ApiError(404, "not_found", "there is no rollout '" + id + "'");
  RequireScope(op, *model);
  const std::string request_id = record.command.request_id;
  co_await Commit(exchange, op, std::move(record), request_id);
}

Task<void> AdminApi::SetRule(net::HttpExchange& exchange, const Operator& op) {
  BodyReader body(exchange.request().body());
  config::SetRule record;
  record.command = ReadCommand(body, op);
  auto& rule = record.rule;
  rule.account = body.Text("account", "*");
  rule.kind = body.Text("kind", "*");
  rule.call_class = body.Choice("call_class", config::kCallClasses, config::CallClass::kRepeatable);
  rule.priority = static_cast<std::uint32_t>(body.Number("priority", 5, 0, 9));
  rule.weight = body.Real("weight", 1, 0.001, 1000);
  rule.rate_limit = body.Real("rate_limit", 0, 0, 1e9);
  rule.deadline = std::chrono::milliseconds(body.Number("deadline_ms", 0, 0, 3600000));
  body.Finish();
  RequireScope(op, rule.account);
  const std::string request_id = record.command.request_id;
  co_await Commit(exchange, op, std::move(record), request_id);
}

Task<void> AdminApi::Drain(net::HttpExchange& exchange, const Operator& op, std::string id) {
  BodyReader body(exchange.request().body());
  config::DrainEndpoint record;
  record.command = ReadCommand(body, op);
  record.drain = body.Flag("drain", true);
  body.Finish();
  record.endpoint_id = id;
  RequireScope(op, id);
  const std::string request_id = record.command.request_id;
  co_await Commit(exchange, op, std::move(record), request_id);
}

Task<void> AdminApi::ShowRevision(net::HttpExchange& exchange, std::string number) {
  config::Revision revision = 0;
  const auto [end, ec] = std::from_chars(number.data(), number.data() + number.size(), revision);
  if (ec != std::errc() || end != number.data() + number.size()) {
    throw ApiError(400, "invalid_value", "the revision must be a whole number", "revision");
  }
  const bool wait = exchange.Query("wait") == "in-force";
  const TimePoint until = MonotonicNow() + kInForceWait;
  auto published = shared_.published.Load();
  while (wait && published->in_force < revision && MonotonicNow() < until) {
    co_await Sleep(kInForcePoll);
    published = shared_.published.Load();
  }
  Json body;
  body["revision"] = revision;
  body["applied_here"] = published->applied >= revision;
  body["in_force"] = published->in_force >= revision;
  co_await exchange.Respond(200, body.dump());
}

Task<void> AdminApi::ShowDump(net::HttpExchange& exchange) {
  const View dump = [](const EntryControl& control, TimePoint now) {
    return ViewDump(control, now);
  };
  const auto view = co_await shared_.control.Ask<Json>(dump);
  if (!view) throw ApiError(503, "busy", "the control thread did not answer");
  Json body = *view;
  const auto status = shared_.dispatcher.status();
  Json traffic;
  traffic["queued"] = status.queued;
  traffic["running"] = status.running;
  traffic["offered"] = status.queue.offered;
  traffic["dispatched"] = status.queue.dispatched;
  traffic["finished"] = status.queue.finished;
  traffic["choices"] = status.router.choices;
  traffic["no_route"] = status.router.no_route;
  traffic["prefix_hits"] = status.router.prefix_hits;
  traffic["ejections"] = status.ejector.ejections;
  traffic["retries_granted"] = status.retries.granted;
  traffic["retries_denied"] = status.retries.denied;
  traffic["limit_allowed"] = status.limits.allowed;
  traffic["limit_refused"] = status.limits.refused;
  traffic["once_keys_in_progress"] = shared_.once_keys.size();
  body["traffic"] = std::move(traffic);
  Json counters;
  for (const auto& [counter, name] : kCounters.rows) {
    counters[std::string(name)] = shared_.metrics.Value(counter);
  }
  body["counters"] = std::move(counters);
  const auto frames = shared_.frames();
  body["frames"]["sent"] = frames.frames_sent;
  body["frames"]["received"] = frames.frames_received;
  body["frames"]["dropped"] = frames.frames_dropped;
  body["frames"]["bytes_sent"] = frames.bytes_sent;
  body["frames"]["bytes_received"] = frames.bytes_received;
  co_await exchange.Respond(200, body.dump());
}

}  // namespace wagtailslip::process
