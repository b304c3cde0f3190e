#include "stream_load.h"

#include "common/token_text.h"

namespace wagtailslip::system_test {
namespace {

constexpr Duration kStreamTimeout = 60s;
constexpr Duration kRetryPause = 100ms;
constexpr std::string_view kDataField = "data: ";

}  // namespace

StreamLoad::StreamLoad(const Cluster& cluster, std::string model, std::vector<std::string> entries,
                       std::size_t callers, int tokens)
    : cluster_(cluster), model_(std::move(model)), entries_(std::move(entries)), tokens_(tokens) {
  for (std::size_t i = 0; i < callers; ++i) threads_.emplace_back([this, i] { Run(i); });
}

StreamLoad::~StreamLoad() { Finish(); }

void StreamLoad::Finish() {
  finish_ = true;
  for (auto& it : threads_) it.join();
  threads_.clear();
}

std::string StreamLoad::Check(const Reply& reply) const {
  // The engine derives each token from the version and the stream's id, so a token of other weights
  // or of another stream does not match.
  const std::string version = reply.response.Header("X-Model-Version");
  if (version.empty()) return "no version is named";
  std::string text;
  std::string id;
  bool done = false;
  std::size_t start = 0;
  const std::string& body = reply.response.body;
  while (start < body.size()) {
    const auto end = std::min(body.find('\n', start), body.size());
    const std::string line = body.substr(start, end - start);
    start = end + 1;
    if (!line.starts_with(kDataField)) continue;
    if (done) return "data after the end";
    if (line.substr(kDataField.size()) == "[DONE]") {
      done = true;
      continue;
    }
    const Json event = Json::parse(line.substr(kDataField.size()), nullptr, false);
    if (!event.is_object()) return "an event is not JSON: " + line;
    if (id.empty()) id = event.value("id", "");
    if (event.value("id", "") != id) return "two streams in one answer";
    text += event["choices"][0]["delta"].value("content", "");
  }
  const tools::TokenText tokens(model_, version, id);
  std::string whole;
  for (int i = 0; i < tokens_; ++i) whole += tokens.At(static_cast<std::uint64_t>(i));
  if (!whole.starts_with(text)) return "text of other weights";
  if (!done || text != whole) return "an incomplete stream";
  return {};
}

void StreamLoad::Run(std::size_t caller) {
  Json body;
  body["model"] = model_;
  body["stream"] = true;
  body["max_tokens"] = tokens_;
  body["messages"][0]["role"] = "user";
  body["messages"][0]["content"] = "which bus stops next, caller " + std::to_string(caller);
  for (std::size_t n = caller; !finish_ || n == caller; ++n) {
    const auto& entry = entries_[n % entries_.size()];
    const auto reply = Send(cluster_.Address(entry), verb::post, "/v1/chat/completions",
                            body.dump(), {}, kStreamTimeout);
    if (reply.status == 429 || reply.status == 503) {
      ++refused_;
      std::this_thread::sleep_for(kRetryPause);
      continue;
    }
    std::string fault = reply.status == 200 ? Check(reply) : "no complete answer";
    std::lock_guard lock(mutex_);
    if (fault.empty()) {
      ++complete_;
      ++endpoints_[reply.response.Header("X-Endpoint")];
      ++versions_[reply.response.Header("X-Model-Version")];
    } else {
      faults_.push_back(entry + " status " + std::to_string(reply.status) + ": " + fault + " " +
                        reply.response.body.substr(0, 300));
    }
  }
}

std::map<std::string, std::size_t> StreamLoad::Endpoints() const {
  std::lock_guard lock(mutex_);
  return endpoints_;
}

std::map<std::string, std::size_t> StreamLoad::Versions() const {
  std::lock_guard lock(mutex_);
  return versions_;
}

std::vector<std::string> StreamLoad::Faults() const {
  std::lock_guard lock(mutex_);
  return faults_;
}

}  // namespace wagtailslip::system_test
