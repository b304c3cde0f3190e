#include "load/answer_check.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace wagtailslip::tools {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kDataField = "data: ";
constexpr std::string_view kOffsetField = "id: ";
constexpr std::string_view kEventEnd = "\n\n";

bool IdMatches(const Expectation& expected, const std::string& id) {
  return expected.accept_engine_ids || id == expected.request_id;
}

std::string ExpectedText(const Expectation& expected, const std::string& version,
                         const std::string& id) {
  const TokenText tokens(expected.model, version, id);
  std::string text;
  for (std::uint64_t i = 0; i < expected.max_tokens; ++i) text += tokens.At(i);
  return text;
}

}  // namespace

std::optional<Violation> CheckHeader(const Expectation& expected, const net::HttpResponse& answer) {
  const std::string outcome = answer.Header("X-Outcome");
  if (answer.status == 429 || answer.status == 503) {
    if (answer.Header("Retry-After").empty()) return Violation::kRetryAfter;
    if (!expected.direct && outcome != "not-run") return Violation::kOutcome;
  } else if (answer.status == 200) {
    if (answer.Header("X-Request-Id") != expected.request_id) return Violation::kRequestId;
    // The header of a stream goes out before its outcome is known.
    const bool stream = answer.Header("Content-Type").starts_with("text/event-stream");
    const bool allowed = outcome == "complete" || (stream && outcome == "streaming");
    if (!expected.direct && !allowed) return Violation::kOutcome;
  } else if (answer.status == 504 && !expected.direct && outcome != "unknown") {
    return Violation::kOutcome;
  }
  return std::nullopt;
}

std::optional<Violation> CheckChat(const Expectation& expected, const net::HttpResponse& answer) {
  const std::string version = answer.Header("X-Model-Version");
  if (version.empty()) return Violation::kVersionMissing;
  try {
    const Json json = Json::parse(answer.body);
    const auto id = json.at("id").get<std::string>();
    if (!IdMatches(expected, id)) return Violation::kRequestId;
    if (json.value("system_fingerprint", "") != expected.hash) return Violation::kRequestId;
    const auto& choice = json.at("choices").at(0);
    const auto& text = choice.at("message").at("content").get_ref<const std::string&>();
    const std::string whole = ExpectedText(expected, version, id);
    if (text == whole && choice.at("finish_reason") == "length") return std::nullopt;
    // The start of the right text is a truncated answer; anything else comes from other weights.
    return whole.starts_with(text) ? Violation::kIncomplete : Violation::kWrongText;
  } catch (const Json::exception&) {
    return Violation::kMalformed;
  }
}

std::optional<Violation> CheckService(const Expectation& expected,
                                      const net::HttpResponse& answer) {
  try {
    const Json json = Json::parse(answer.body);
    if (!IdMatches(expected, json.at("request_id").get<std::string>())) {
      return Violation::kRequestId;
    }
    if (!expected.lookup.empty()) {
      return json.at("lookup") == expected.lookup ? std::nullopt
                                                  : std::optional(Violation::kRequestId);
    }
    if (json.at("body_hash") != expected.hash) return Violation::kRequestId;
    // The system may put its own text before the caller's key.
    const auto key = json.at("idempotency_key").get<std::string>();
    if (!key.ends_with(expected.idempotency_key)) return Violation::kRequestId;
    if (json.at("execution").get<std::uint64_t>() != 1) return Violation::kDuplicate;
    return std::nullopt;
  } catch (const Json::exception&) {
    return Violation::kMalformed;
  }
}

StreamCheck::StreamCheck(const Expectation& expected, std::string version)
    : expected_(expected), version_(std::move(version)) {
  if (version_.empty()) Note(Violation::kVersionMissing);
}

void StreamCheck::Note(Violation violation) {
  if (!violation_) violation_ = violation;
}

void StreamCheck::Feed(std::string_view piece, const std::function<void()>& on_token) {
  buffer_ += piece;
  std::size_t start = 0;
  for (auto end = buffer_.find(kEventEnd); end != std::string::npos;
       end = buffer_.find(kEventEnd, start)) {
    TakeEvent(std::string_view(buffer_).substr(start, end - start), on_token);
    start = end + kEventEnd.size();
  }
  buffer_.erase(0, start);
}

void StreamCheck::TakeEvent(std::string_view event, const std::function<void()>& on_token) {
  // Lines other than data and id are comments and fields that say nothing about the answer.
  while (!event.empty()) {
    const auto end = std::min(event.find('\n'), event.size());
    const std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (line.starts_with(kOffsetField)) {
      const bool next = line.substr(kOffsetField.size()) == std::to_string(tokens_);
      if (!next) Note(Violation::kIncomplete);
    } else if (line.starts_with(kDataField)) {
      TakeData(line.substr(kDataField.size()), on_token);
    }
  }
}

void StreamCheck::TakeData(std::string_view data, const std::function<void()>& on_token) {
  if (done_) return Note(Violation::kMalformed);
  if (data == "[DONE]") {
    done_ = true;
    return;
  }
  try {
    const Json json = Json::parse(data);
    const auto& id = json.at("id").get_ref<const std::string&>();
    if (!text_) {
      if (!IdMatches(expected_, id)) Note(Violation::kRequestId);
      if (json.value("system_fingerprint", "") != expected_.hash) Note(Violation::kRequestId);
      text_.emplace(expected_.model, version_, id);
      id_ = id;
    }
    if (id != id_) Note(Violation::kRequestId);
    const auto& choice = json.at("choices").at(0);
    const auto& content = choice.at("delta");
    if (content.contains("content")) {
      on_token();
      if (content["content"].get_ref<const std::string&>() != text_->At(tokens_)) {
        Note(Violation::kWrongText);
      }
      ++tokens_;
    }
    if (!choice.at("finish_reason").is_null()) finished_ = choice["finish_reason"] == "length";
  } catch (const Json::exception&) {
    Note(Violation::kMalformed);
  }
}

std::optional<Violation> StreamCheck::Finish() const {
  if (violation_) return violation_;
  const bool whole = done_ && finished_ && buffer_.empty() && tokens_ == expected_.max_tokens;
  return whole ? std::nullopt : std::optional(Violation::kIncomplete);
}

}  // namespace wagtailslip::tools
