#include "load/load_run.h"

#include <algorithm>
#include <cmath>

#include "common/faults.h"
#include "common/pacing.h"
#include "wagtailslip/net/address.h"

namespace wagtailslip::tools {
namespace {

/// Time after a request's deadline until the client gives up.
constexpr Duration kGrace = std::chrono::seconds(2);
constexpr Duration kConnectTimeout = std::chrono::seconds(2);
constexpr Duration kPoll = std::chrono::milliseconds(5);
constexpr Duration kRetryPause = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(10);
constexpr std::size_t kMaxExamples = 20;
/// Time between the last sample of a run and its end, which bounds the waits for answers.
constexpr Duration kMaxTail = std::chrono::seconds(120);

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

bool IsChat(const KindSettings& kind) {
  return kind.type == RequestType::kStream || kind.type == RequestType::kChat;
}

/// A prompt's shared prefix is the same in every run; only its end differs by request.
std::string Prompt(const KindSettings& kind, std::uint64_t prefix, const std::string& id) {
  const TokenText words("prompt", kind.name, std::to_string(prefix));
  std::string text;
  for (std::uint64_t i = 0; text.size() < kind.prompt_bytes; ++i) text += words.At(i);
  text.resize(kind.prompt_bytes);
  return text + " " + id;
}

Ending EndingOf(const net::HttpResponse& answer) {
  if (answer.status == 200) return Ending::kComplete;
  if (answer.status == 429 || answer.status == 503) return Ending::kNotRun;
  return answer.status == 504 ? Ending::kUnknown : Ending::kError;
}

}  // namespace

LoadRun::LoadRun(const LoadSettings& settings)
    : settings_(settings), book_(settings), connections_(settings.fresh_connections) {
  if (settings_.keys_file.empty()) return;
  keys_.open(settings_.keys_file, std::ios::trunc);
  if (!keys_) throw ToolError("cannot write " + settings_.keys_file);
}

std::uint64_t LoadRun::complete() const {
  const auto it = total_.endings.find(Ending::kComplete);
  return it == total_.endings.end() ? 0 : it->second;
}

net::Task<void> LoadRun::Run() {
  const auto executor = co_await net::asio::this_coro::executor;
  if (!settings_.directories.empty()) {
    net::asio::co_spawn(executor, book_.Follow(done_), net::asio::detached);
    const TimePoint limit = Now() + kMaxRetryAfter;
    while (!book_.Pick() && Now() < limit && !stop_) co_await Sleep(kPoll);
  }
  if (!book_.Pick()) throw ToolError("no address to send to");
  start_ = Now();
  senders_ = settings_.accounts.size();
  for (std::size_t i = 0; i < settings_.accounts.size(); ++i) {
    net::asio::co_spawn(executor, SendForAccount(i), net::asio::detached);
  }
  while (senders_ > 0) co_await Sleep(kPoll);
  const TimePoint limit = Now() + kMaxTail;
  while (in_flight_ > 0 && Now() < limit) co_await Sleep(kPoll);
  done_ = true;
  keys_.close();
}

net::Task<void> LoadRun::SendForAccount(std::size_t index) {
  const auto& account = settings_.accounts[index];
  std::seed_seq sequence{settings_.seed, std::uint64_t{index}};
  std::mt19937_64 random(sequence);
  std::exponential_distribution<double> gap(account.rate);
  const TimePoint end = start_ + FromSeconds(settings_.seconds);
  TimePoint intended = start_;
  for (std::uint64_t number = 0;; ++number) {
    intended += FromSeconds(gap(random));
    if (intended >= end) break;
    while (!stop_ && Now() < intended) {
      co_await Sleep(std::min<Duration>(intended - Now(), kRetryPause));
    }
    if (stop_) break;
    Request request = MakeRequest(index, number, random, intended);
    if (in_flight_ >= settings_.max_in_flight) {
      ForRows(account, *request.kind, [](Row& row) { ++row.dropped; });
      continue;
    }
    ForRows(account, *request.kind, [](Row& row) { ++row.sent; });
    in_flight_max_ = std::max(in_flight_max_, ++in_flight_);
    net::asio::co_spawn(co_await net::asio::this_coro::executor, SendOne(std::move(request)),
                        net::asio::detached);
  }
  --senders_;
}

LoadRun::Request LoadRun::MakeRequest(std::size_t account, std::uint64_t number,
                                      std::mt19937_64& random, TimePoint intended) const {
  double sum = 0;
  for (const auto& kind : settings_.kinds) sum += kind.weight;
  double draw = std::uniform_real_distribution<double>(0, sum)(random);
  std::size_t index = 0;
  while (index + 1 < settings_.kinds.size() && draw >= settings_.kinds[index].weight) {
    draw -= settings_.kinds[index++].weight;
  }
  const KindSettings& kind = settings_.kinds[index];
  Request request{&settings_.accounts[account], &kind, {}, {}, intended, {}};
  auto& expected = request.expected;
  expected.request_id =
      request.account->name + "-" + std::to_string(settings_.seed) + "-" + std::to_string(number);
  expected.model = kind.model.substr(kind.model.find('/') + 1);
  expected.max_tokens = kind.max_tokens;
  expected.accept_engine_ids = settings_.accept_engine_ids;
  expected.direct = settings_.direct;
  nlohmann::json body;
  if (IsChat(kind)) {
    const auto prefix = std::uniform_int_distribution<std::uint64_t>(0, kind.prefixes - 1)(random);
    body["model"] = kind.model;
    body["max_tokens"] = kind.max_tokens;
    body["stream"] = kind.type == RequestType::kStream;
    body["messages"][0]["role"] = "user";
    const std::string prompt = Prompt(kind, prefix, expected.request_id);
    body["messages"][0]["content"] = prompt;
    expected.hash = ShortHash(PromptText(body["messages"]));
    request.body = body.dump();
  } else if (kind.type == RequestType::kLookup) {
    expected.lookup = kind.call + "/" + expected.request_id;
  } else {
    body["item"] = expected.request_id;
    request.body = body.dump();
    expected.hash = ShortHash(request.body);
    expected.idempotency_key = "key-" + expected.request_id;
  }
  return request;
}

net::HttpRequest LoadRun::ToHttp(const Request& request) const {
  const auto& kind = *request.kind;
  std::string path = "/v1/chat/completions";
  auto method = net::http::verb::post;
  const std::string service = "/v1/services/" + kind.service + "/";
  if (kind.type == RequestType::kLookup) {
    method = net::http::verb::get;
    path = (settings_.direct ? "/lookup/" : service) + request.expected.lookup;
  } else if (kind.type == RequestType::kCall) {
    path = (settings_.direct ? "/call/" : service) + kind.call;
  }
  net::HttpHeaders headers;
  headers.emplace_back("Authorization", "Bearer " + request.account->api_key);
  headers.emplace_back("X-Request-Kind", kind.name);
  headers.emplace_back("X-Request-Id", request.expected.request_id);
  headers.emplace_back("X-Deadline-Ms", std::to_string(kind.deadline_ms));
  if (!request.expected.idempotency_key.empty()) {
    headers.emplace_back("Idempotency-Key", request.expected.idempotency_key);
  }
  return net::MakeRequest(method, path, request.body, headers);
}

net::Task<void> LoadRun::SendOne(Request request) {
  Attempt attempt = co_await Try(request);
  for (std::uint64_t n = 1; !attempt.violation && MayRepeat(request, attempt, n); ++n) {
    ForRows(*request.account, *request.kind, [](Row& row) { ++row.resent; });
    co_await Sleep(std::clamp(attempt.retry_after, kRetryPause, kMaxRetryAfter));
    attempt = co_await Try(request);
  }
  Finish(request, attempt, Now());
  --in_flight_;
}

bool LoadRun::MayRepeat(const Request& request, const Attempt& attempt,
                        std::uint64_t attempts) const {
  if (attempt.ending == Ending::kComplete) return false;
  if (request.kind->type == RequestType::kCall) return attempts <= settings_.resend;
  const bool not_run = attempt.ending == Ending::kNotRun || attempt.ending == Ending::kNoConnection;
  return not_run && attempts <= settings_.retry;
}

net::Task<LoadRun::Attempt> LoadRun::Try(Request& request) {
  Attempt attempt;
  const auto address = book_.Pick(request.failed);
  attempt.ending = Ending::kNoConnection;
  if (!address) co_return attempt;
  request.failed = address;
  try {
    auto connection = co_await connections_.Acquire(*address, kConnectTimeout);
    attempt = co_await Exchange(request, *connection);
    connections_.Release(*address, std::move(connection));
    // A repeated request leaves an address only because its connection failed.
    request.failed.reset();
  } catch (const net::ConnectError&) {
    attempt.ending = Ending::kNoConnection;
  } catch (const net::TimeoutError&) {
    attempt.ending = Ending::kTimeout;
  } catch (const net::NetError&) {
    attempt.ending = Ending::kBroken;
  }
  co_return attempt;
}

net::Task<LoadRun::Attempt> LoadRun::Exchange(const Request& request,
                                              net::HttpConnection& connection) {
  const Duration timeout = std::chrono::milliseconds(request.kind->deadline_ms) + kGrace;
  Attempt attempt;
  net::HttpResponse answer = co_await connection.Start(ToHttp(request), timeout);
  attempt.ending = EndingOf(answer);
  attempt.retry_after = std::chrono::seconds(std::atoi(answer.Header("Retry-After").c_str()));
  attempt.violation = CheckHeader(request.expected, answer);
  if (answer.status == 200 && request.kind->type == RequestType::kStream) {
    co_await ReadStream(request, connection, answer, attempt);
    co_return attempt;
  }
  while (auto piece = co_await connection.ReadSome(timeout)) answer.body += *piece;
  if (answer.status == 200 && !attempt.violation) {
    attempt.violation = IsChat(*request.kind) ? CheckChat(request.expected, answer)
                                              : CheckService(request.expected, answer);
  }
  co_return attempt;
}

net::Task<void> LoadRun::ReadStream(const Request& request, net::HttpConnection& connection,
                                    const net::HttpResponse& header, Attempt& attempt) {
  const Duration timeout = std::chrono::milliseconds(request.kind->deadline_ms) + kGrace;
  StreamCheck check(request.expected, header.Header("X-Model-Version"));
  const auto note = [&attempt] { attempt.token_times.push_back(Now()); };
  while (auto piece = co_await connection.ReadSome(timeout)) check.Feed(*piece, note);
  if (!attempt.violation) attempt.violation = check.Finish();
}

template <typename F>
void LoadRun::ForRows(const AccountSettings& account, const KindSettings& kind, F change) {
  change(total_);
  change(by_account_[account.name]);
  change(by_kind_[kind.name]);
}

void LoadRun::Finish(const Request& request, const Attempt& attempt, TimePoint end) {
  ForRows(*request.account, *request.kind, [&](Row& row) {
    ++row.endings[attempt.ending];
    if (attempt.violation) ++row.violations;
    if (attempt.ending != Ending::kComplete || attempt.violation) return;
    row.latency.Record(end - request.intended);
    const auto& times = attempt.token_times;
    if (!times.empty()) row.first_token.Record(times.front() - request.intended);
    for (std::size_t i = 1; i < times.size(); ++i) {
      row.between_tokens.Record(times[i] - times[i - 1]);
    }
  });
  if (keys_.is_open() && !request.expected.idempotency_key.empty()) {
    keys_ << request.expected.idempotency_key << ' ' << kEndings.Name(attempt.ending) << '\n';
  }
  if (!attempt.violation) return;
  ++violations_[*attempt.violation];
  if (examples_.size() < kMaxExamples) {
    examples_.push_back(request.expected.request_id + " (" + request.kind->name +
                        "): " + std::string(kViolations.Name(*attempt.violation)));
  }
}

nlohmann::json LoadRun::ToJson() const {
  nlohmann::json json;
  json["seed"] = settings_.seed;
  json["seconds"] = settings_.seconds;
  json["in_flight_max"] = in_flight_max_;
  json["left_in_flight"] = in_flight_;
  json["address_refreshes"] = book_.refreshes();
  json["address_failures"] = book_.failures();
  json["total"] = total_.ToJson();
  json["accounts"] = nlohmann::json::object();
  for (const auto& [name, row] : by_account_) json["accounts"][name] = row.ToJson();
  json["kinds"] = nlohmann::json::object();
  for (const auto& [name, row] : by_kind_) json["kinds"][name] = row.ToJson();
  json["violations"] = nlohmann::json::object();
  for (const auto& [violation, n] : violations_) {
    json["violations"][std::string(kViolations.Name(violation))] = n;
  }
  json["examples"] = examples_;
  return json;
}

}  // namespace wagtailslip::tools
