#include "limited_replicas.h"

#include <nlohmann/json.hpp>

#include "wagtailslip/net/address.h"
#include "wagtailslip/net/http_client.h"

namespace wagtailslip::system_test {
namespace {

namespace asio = net::asio;
using Clock = std::chrono::steady_clock;

constexpr Duration kAnnouncementPeriod = std::chrono::milliseconds(300);
constexpr Duration kAnnouncementTimeout = std::chrono::milliseconds(500);
constexpr int kSlots = 16;

TimePoint Now() { return TimePoint(Clock::now().time_since_epoch()); }

}  // namespace

std::optional<double> ReplicaPlan::LimitAt(Duration time) const {
  std::optional<double> limit;
  for (const auto& it : steps) {
    if (it.at <= time) limit = it.per_second;
  }
  return limit;
}

LimitedReplicas::LimitedReplicas(std::vector<ReplicaPlan> plans, std::string service,
                                 std::vector<std::string> controls)
    : plans_(std::move(plans)),
      service_(std::move(service)),
      controls_(std::move(controls)),
      started_(Now()),
      started_ms_(std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count()),
      context_(1) {
  for (const auto& plan : plans_) {
    servers_.push_back(std::make_unique<net::HttpServer>(
        context_, net::ParseAddress(plan.address), net::HttpLimits{},
        [this, &plan](net::HttpExchange& exchange) { return Answer(exchange, plan); }));
    servers_.back()->Start();
  }
  asio::co_spawn(context_, Announce(), asio::detached);
  thread_ = std::thread([this] { context_.run(); });
}

LimitedReplicas::~LimitedReplicas() {
  context_.stop();
  thread_.join();
}

Duration LimitedReplicas::Elapsed() const { return Now() - started_; }

std::vector<Duration> LimitedReplicas::Arrivals(const std::string& id) const {
  const std::lock_guard lock(mutex_);
  const auto it = arrivals_.find(id);
  return it == arrivals_.end() ? std::vector<Duration>() : it->second;
}

net::Task<void> LimitedReplicas::Answer(net::HttpExchange& exchange, const ReplicaPlan& plan) {
  const Duration time = Elapsed();
  {
    const std::lock_guard lock(mutex_);
    arrivals_[plan.id].push_back(time);
  }
  if (plan.service_time > Duration::zero()) {
    asio::steady_timer timer(context_);
    timer.expires_after(plan.service_time);
    co_await timer.async_wait(asio::use_awaitable);
  }
  net::HttpHeaders headers;
  headers.emplace_back("Attempt-Id", std::string(exchange.Header("Attempt-Id")));
  headers.emplace_back("Replica-Signature", plan.id);
  if (const auto limit = plan.LimitAt(time)) {
    headers.emplace_back("Server-Limit", nlohmann::json(*limit).dump());
  }
  const std::string body = "{}";
  co_await exchange.Respond(200, body, headers);
}

net::Task<void> LimitedReplicas::Announce() {
  asio::steady_timer timer(context_);
  for (std::int64_t sequence = 1;; ++sequence) {
    for (const auto& plan : plans_) {
      const nlohmann::json announcement{
          {"backend", service_},  {"address", plan.address}, {"zone", "za"},
          {"version", "v1"},      {"batch-slots", kSlots},   {"state", "ready"},
          {"sequence", sequence}, {"born", started_ms_},     {"warmup-remaining-ms", 0}};
      const std::string path = "/replicas/" + plan.id + "/heartbeat";
      bool acknowledged = false;
      for (std::size_t i = 0; i < controls_.size() && !acknowledged; ++i) {
        auto request = net::MakeRequest(net::http::verb::post, path, announcement.dump());
        try {
          const auto response = co_await net::CallOnce(net::ParseAddress(controls_[i]),
                                                       std::move(request), kAnnouncementTimeout);
          acknowledged = response.status == 200;
        } catch (const net::NetError&) {
          // The next control process is asked.
          acknowledged = false;
        }
      }
    }
    timer.expires_after(kAnnouncementPeriod);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

}  // namespace wagtailslip::system_test
