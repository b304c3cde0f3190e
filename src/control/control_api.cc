#include "control_api.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "drain_call.h"
#include "platform/control_calls.h"
#include "platform/json_fields.h"
#include "platform/service_config.h"
#include "wagtailslip/net/address.h"
#include "wagtailslip/process/async_result.h"
#include "wagtailslip/process/clock.h"
#include "wagtailslip/process/events.h"

namespace wagtailslip::control {
namespace {

using net::Task;
using platform::ControlCall;
using process::Event;
using process::LogEvent;
using process::MonotonicNow;

// An operator retries elsewhere after 1 s; the log commits or times out (kProposalTimeout) before
// this wait ends.
constexpr Duration kCommitTimeout = std::chrono::milliseconds(2500);
constexpr std::uint64_t kMaxBodyBytes = 8ULL * 1024 * 1024;
// Upper bound on how long a caller may cache the addresses of the ingress processes. Short, because
// callers learn that one has stopped only from the next lookup response.
constexpr int kMaxLookupTtlSeconds = 2;

constexpr std::pair<platform::DecodeFault, process::Counter> kRefusalCounters[] = {
    {platform::DecodeFault::kUnreadable, process::Counter::kAnnouncementsUnreadable},
    {platform::DecodeFault::kMissingField, process::Counter::kAnnouncementsMissingField},
    {platform::DecodeFault::kWrongType, process::Counter::kAnnouncementsWrongType},
    {platform::DecodeFault::kOutOfRange, process::Counter::kAnnouncementsOutOfRange},
    {platform::DecodeFault::kInvalidValue, process::Counter::kAnnouncementsInvalidValue}};
static_assert(std::size(kRefusalCounters) == platform::kDecodeFaults.rows.size());

/// Subject in a call "POST /parts/ID/lift" or "POST /requests/ID/lift"; nothing if this is another
/// call.
std::optional<serving::CrashSubject> SubjectToLift(const net::HttpExchange& exchange) {
  constexpr std::pair<std::string_view, serving::SubjectKind> kPrefixes[] = {
      {"/parts/", serving::SubjectKind::kPromptPart},
      {"/requests/", serving::SubjectKind::kRequest}};
  constexpr std::string_view kSuffix = "/lift";
  const std::string path(exchange.path());
  if (exchange.request().method() != net::http::verb::post || !path.ends_with(kSuffix)) return {};
  for (const auto& [prefix, kind] : kPrefixes) {
    const std::size_t fixed = prefix.size() + kSuffix.size();
    if (!path.starts_with(prefix) || path.size() <= fixed) continue;
    return serving::CrashSubject{kind, path.substr(prefix.size(), path.size() - fixed)};
  }
  return {};
}

std::int64_t UtcMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(process::UtcNow().time_since_epoch())
      .count();
}

std::string ErrorBody(const std::string& message) {
  return nlohmann::json{{"error", message}}.dump();
}

}  // namespace

ControlApi::ControlApi(net::asio::io_context& context, ControlNode& node,
                       const deployment::NodeSettings& settings)
    : context_(context), node_(node), settings_(settings) {
  net::HttpLimits limits;
  limits.body_bytes = kMaxBodyBytes;
  for (const auto& address : {settings.control_address, settings.lookup_address}) {
    if (address.empty()) continue;
    servers_.push_back(std::make_unique<net::HttpServer>(
        context, net::ParseAddress(address), limits,
        [this](net::HttpExchange& exchange) { return Handle(exchange); }));
  }
}

void ControlApi::Start() {
  for (auto& it : servers_) it->Start();
}

void ControlApi::StopAccepting() {
  for (auto& it : servers_) it->StopAccepting();
}

std::size_t ControlApi::active() const {
  std::size_t n = 0;
  for (const auto& it : servers_) n += it->active();
  return n;
}

Task<void> ControlApi::Handle(net::HttpExchange& exchange) {
  const auto method = exchange.request().method_string();
  const auto parsed = platform::ParseControlCall({method.data(), method.size()}, exchange.path());
  switch (parsed.call) {
    case ControlCall::kReplaceConfig:
      co_return co_await ReplaceConfig(exchange);
    case ControlCall::kReadConfig:
      co_return co_await ReadConfig(exchange);
    case ControlCall::kSetTargetWeights:
      co_return co_await NameWeights(exchange);
    case ControlCall::kAnnounce:
      co_return co_await Announce(exchange, parsed.endpoint);
    case ControlCall::kLeave:
      co_return co_await Leave(exchange, parsed.endpoint);
    case ControlCall::kLookup:
      co_return co_await Lookup(exchange);
    case ControlCall::kBeginDrain:
    case ControlCall::kFinishDrain: {
      serving::DomainDrain drain;
      drain.domain = parsed.failure_domain;
      drain.drained = parsed.call == ControlCall::kBeginDrain;
      drain.utc_ms = UtcMilliseconds();
      co_return co_await Drain(exchange, std::move(drain));
    }
    case ControlCall::kUnknown:
      break;
  }
  if (exchange.path() == "/debug/state") co_return co_await DumpState(exchange);
  if (exchange.path() == "/metrics") {
    const std::string text = metrics_.Text();
    const net::HttpHeaders headers;
    co_return co_await exchange.Respond(200, text, headers, "text/plain; version=0.0.4");
  }
  if (const auto lifted = SubjectToLift(exchange)) {
    co_return co_await LiftVerdict(exchange, *lifted);
  }
  const std::string body = ErrorBody("there is no such call");
  co_await exchange.Respond(404, body);
}

Task<void> ControlApi::RespondUnavailable(net::HttpExchange& exchange, std::string reason) {
  const std::string body = ErrorBody(reason);
  net::HttpHeaders headers;
  headers.emplace_back("Retry-After", "0.3");
  co_await exchange.Respond(503, body, headers);
}

Task<void> ControlApi::RedirectToLeader(net::HttpExchange& exchange) {
  const std::string leader = node_.LeaderAddress();
  if (leader.empty()) {
    co_await RespondUnavailable(exchange, "no leader is known");
    co_return;
  }
  const auto target = exchange.request().target();
  net::HttpHeaders headers;
  headers.emplace_back("Location", "http://" + leader + std::string(target.data(), target.size()));
  const std::string body = ErrorBody("another process leads");
  co_await exchange.Respond(307, body, headers);
}

Task<void> ControlApi::Commit(net::HttpExchange& exchange, Command command) {
  auto result = std::make_shared<process::AsyncResult<bool>>(
      net::asio::any_io_executor(context_.get_executor()));
  const auto started = MonotonicNow();
  const std::int64_t version = command.config_version;
  const std::int64_t weights = command.weights_version;
  nlohmann::json fields{{"config_version", version}, {"weights", weights}};
  if (command.domain_drain) {
    fields["domain"] = command.domain_drain->domain;
    fields["drained"] = command.domain_drain->drained;
  }
  node_.log().Propose(
      command, [result](bool committed) { result->Set(committed); }, started);
  const auto committed = co_await result->Wait(kCommitTimeout);
  const auto elapsed_ms = ToMilliseconds(MonotonicNow() - started);
  const bool done = committed.has_value() && *committed;
  fields["ms"] = elapsed_ms;
  LogEvent(done ? Event::kCommandAcknowledged : Event::kCommandUnclear, fields);
  if (!done) {
    co_await RespondUnavailable(exchange, "the outcome is not known");
    co_return;
  }
  const std::string body = "{}";
  co_await exchange.Respond(200, body);
}

Task<void> ControlApi::ReplaceConfig(net::HttpExchange& exchange) {
  Command command;
  std::string problem;
  try {
    command.config_body = exchange.request().body();
    command.config_version = platform::DecodeServiceConfig(command.config_body).version;
    command.config_body = CompressConfig(command.config_body);
    if (command.config_version <= 0) problem = "the version is not above 0";
  } catch (const serving::ServingError& e) {
    problem = e.what();
  }
  if (!problem.empty()) {
    LogEvent(Event::kServiceConfigRefused, {{"error", problem}});
    const std::string body = ErrorBody(problem);
    co_await exchange.Respond(400, body);
    co_return;
  }
  const TimePoint now = MonotonicNow();
  if (!node_.log().HasLeaderLease(now)) co_return co_await RedirectToLeader(exchange);
  // A version that is not newer than the committed one is a no-op, but only a leader that can serve
  // linearizable reads may acknowledge it as such.
  if (node_.log().CanServeReads(now) &&
      command.config_version <= node_.log().state().config_version) {
    const std::string body = "{}";
    co_await exchange.Respond(200, body);
    co_return;
  }
  co_await Commit(exchange, std::move(command));
}

Task<void> ControlApi::ReadConfig(net::HttpExchange& exchange) {
  const TimePoint now = MonotonicNow();
  if (!node_.log().CanServeReads(now)) co_return co_await RedirectToLeader(exchange);
  if (node_.log().state().config_version == 0) {
    co_return co_await RespondUnavailable(exchange, "there is no configuration yet");
  }
  const std::string body = DecompressConfig(node_.log().state().config_body);
  co_await exchange.Respond(200, body);
}

Task<void> ControlApi::NameWeights(net::HttpExchange& exchange) {
  Command command;
  std::string problem;
  try {
    const auto weights = platform::DecodeTargetWeights(exchange.request().body());
    command.model = weights.model;
    command.weights_version = weights.version;
    command.named_utc_ms = UtcMilliseconds();
  } catch (const platform::PlatformError& e) {
    problem = e.what();
  }
  if (!problem.empty()) {
    const std::string body = ErrorBody(problem);
    co_await exchange.Respond(400, body);
    co_return;
  }
  node_.PrefetchWeights(command.model, command.weights_version);
  if (!node_.log().HasLeaderLease(MonotonicNow())) co_return co_await RedirectToLeader(exchange);
  co_await Commit(exchange, std::move(command));
}

void ControlApi::RecordRefusal(const std::string& endpoint, const platform::PlatformError& error,
                               TimePoint now) {
  for (const auto& [fault, counter] : kRefusalCounters) {
    if (fault == error.fault()) metrics_.Add(counter);
  }
  const auto refused = refusal_log_.Add(endpoint, now);
  if (!refused) return;
  LogEvent(Event::kAnnouncementRefused, {{"endpoint", endpoint},
                                         {"reason", platform::kDecodeFaults.Name(error.fault())},
                                         {"error", error.what()},
                                         {"refused", *refused}});
}

Task<void> ControlApi::Announce(net::HttpExchange& exchange, const std::string& endpoint) {
  serving::EndpointRecord record;
  std::string problem;
  try {
    record = platform::DecodeAnnouncement(endpoint, exchange.request().body());
  } catch (const platform::PlatformError& e) {
    problem = e.what();
    RecordRefusal(endpoint, e, MonotonicNow());
  }
  if (!problem.empty()) {
    const std::string body = ErrorBody(problem);
    co_await exchange.Respond(400, body);
    co_return;
  }
  // An isolated control process cannot relay the draining state, so requests would still reach the
  // endpoint after the acknowledgement.
  if (record.state == serving::EndpointState::kDraining && !node_.LinkedToMajority()) {
    co_return co_await RespondUnavailable(exchange, "too few control processes are linked");
  }
  node_.Announce(std::move(record), MonotonicNow());
  const std::string body = "{}";
  co_await exchange.Respond(200, body);
}

Task<void> ControlApi::Leave(net::HttpExchange& exchange, const std::string& endpoint) {
  if (!node_.LinkedToMajority()) {
    co_return co_await RespondUnavailable(exchange, "too few control processes are linked");
  }
  node_.Leave(endpoint, process::UtcNow(), MonotonicNow());
  const std::string body = "{}";
  co_await exchange.Respond(200, body);
}

Task<void> ControlApi::Lookup(net::HttpExchange& exchange) {
  const auto addresses = node_.IngressAddressesFor(exchange.Query("name"), exchange.Query("region"),
                                                   exchange.Query("zone"));
  if (addresses.empty())
    co_return co_await RespondUnavailable(exchange, "no ingress process is linked");
  const int ttl_seconds = std::min<int>(
      kMaxLookupTtlSeconds, static_cast<int>(ToSeconds(settings_.bounds.max_lookup_ttl)));
  const std::string body = platform::EncodeLookupResponse(addresses, std::max(ttl_seconds, 1));
  co_await exchange.Respond(200, body);
}

Task<void> ControlApi::Drain(net::HttpExchange& exchange, serving::DomainDrain drain) {
  const TimePoint now = MonotonicNow();
  if (!node_.log().HasLeaderLease(now)) co_return co_await RedirectToLeader(exchange);
  const auto known = node_.KnownDomains();
  const auto step = DecideDrain(drain, known, node_.log().state().drained_domains,
                                node_.log().CanServeReads(now));
  if (step == DrainStep::kRejectUnknown) {
    const std::string body =
        nlohmann::json{{"error", "the failure domain is unknown"}, {"known", known}}.dump(
            -1, ' ', false, nlohmann::json::error_handler_t::replace);
    co_await exchange.Respond(404, body);
    co_return;
  }
  if (step == DrainStep::kAcknowledge) {
    const std::string body = "{}";
    co_await exchange.Respond(200, body);
    co_return;
  }
  Command command;
  command.domain_drain = std::move(drain);
  co_await Commit(exchange, std::move(command));
}

Task<void> ControlApi::LiftVerdict(net::HttpExchange& exchange, serving::CrashSubject subject) {
  if (!node_.log().CanServeReads(MonotonicNow())) co_return co_await RedirectToLeader(exchange);
  const auto* verdict = node_.log().state().crash_verdicts.Find(subject);
  if (verdict == nullptr) {
    const std::string body = ErrorBody("there is no verdict on this subject");
    co_await exchange.Respond(404, body);
    co_return;
  }
  LogEvent(Event::kCrashSubjectJudged,
           {{"kind", serving::kSubjectKinds.Name(subject.kind)},
            {"subject", subject.id},
            {"state", serving::kVerdictStates.Name(serving::VerdictState::kLifted)},
            {"reason", serving::kVerdictReasons.Name(serving::VerdictReason::kOperator)}});
  Command command;
  command.crash_verdict =
      serving::CrashVerdict{subject, serving::VerdictState::kLifted, 0, {}, 0, verdict->revision};
  co_await Commit(exchange, std::move(command));
}

Task<void> ControlApi::DumpState(net::HttpExchange& exchange) {
  const TimePoint now = MonotonicNow();
  const auto& replica = node_.log().replica();
  nlohmann::json members = nlohmann::json::object();
  for (const auto& [id, role] : replica.membership().members()) {
    members[id.Text()] = agreement::kMemberRoles.Name(role);
  }
  const auto& permits = node_.permit_allocator();
  nlohmann::json limits = nlohmann::json::object();
  for (const auto& [id, it] : permits.limits().observations()) {
    if (it.per_second) limits[id] = *it.per_second;
  }
  const auto& warmup = node_.warmup_allocator();
  auto& retries = node_.retry_allocator();
  nlohmann::json retry_services = nlohmann::json::object();
  for (const auto& [name, it] : retries.Services(now)) {
    retry_services[name] = {
        {"allowed", it.allowed}, {"available", it.available}, {"outstanding", it.outstanding}};
  }
  std::map<serving::SubjectKind, nlohmann::json> subjects;
  for (const auto& it : serving::kSubjectPolicies) {
    subjects[it.kind] = {{"verdicts", nlohmann::json::object()},
                         {"suspects", nlohmann::json::object()}};
  }
  for (const auto& it : node_.log().state().crash_verdicts.verdicts) {
    subjects[it.subject.kind]["verdicts"][it.subject.id] = {
        {"state", serving::kVerdictStates.Name(it.state)},
        {"times", it.times},
        {"trials", it.trials},
        {"trial_process", it.trial_process}};
  }
  for (const auto& it : node_.crash_judge().evidence().Suspects(now)) {
    subjects[it.subject.kind]["suspects"][it.subject.id] = it.ends;
  }
  nlohmann::json dump{{"process", settings_.mesh_address()},
                      {"role", agreement::kRoles.Name(replica.role())},
                      {"term", replica.term()},
                      {"leader", node_.log().Leader()},
                      {"commit", replica.commit_index()},
                      {"members", members},
                      {"current", node_.log().CanServeReads(now)},
                      {"config_version", node_.log().state().config_version},
                      {"ingress", node_.IngressAddresses()},
                      {"limits", limits},
                      {"permits",
                       {{"requests", permits.counters().requests},
                        {"granted", permits.counters().granted},
                        {"denied", permits.counters().denied}}},
                      {"warmup",
                       {{"holders", warmup.Holders(now)},
                        {"requests", warmup.counters().requests},
                        {"granted", warmup.counters().granted},
                        {"renewed", warmup.counters().renewed},
                        {"denied", warmup.counters().denied}}},
                      {"retries",
                       {{"services", retry_services},
                        {"inherited_blocks", retries.inherited_blocks()},
                        {"open_blocks", retries.open_blocks()},
                        {"reports", retries.counters().reports},
                        {"granted", retries.counters().granted},
                        {"denied", retries.counters().denied},
                        {"lost", retries.counters().lost}}}};
  for (const auto& [fault, counter] : kRefusalCounters) {
    dump["announcements_refused"][std::string(platform::kDecodeFaults.Name(fault))] =
        metrics_.Value(counter);
  }
  const auto& drained = node_.log().state().drained_domains;
  dump["drained_domains"] = {{"revision", drained.revision}, {"domains", drained.domains}};
  for (const auto& it : serving::kSubjectPolicies) {
    dump[std::string(it.dump_name)] = subjects[it.kind];
  }
  // Ids of endpoints are their own words and may be no text.
  const std::string body = dump.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  co_await exchange.Respond(200, body);
}

}  // namespace wagtailslip::control
