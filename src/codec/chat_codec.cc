#include "wagtailslip/codec/chat_codec.h"

#include <nlohmann/json.hpp>

#include "wagtailslip/base/digest.h"

namespace wagtailslip::codec {
namespace {

using nlohmann::json;

constexpr int kMaxNestingDepth = 32;
/// Estimate for prompts, which are not tokenized here.
constexpr double kBytesPerToken = 4;
/// Estimate for requests without max_tokens.
constexpr double kDefaultAnswerTokens = 256;
constexpr std::size_t kPrefixBlockBytes = 512;
constexpr std::size_t kMaxPrefixBlocks = 32;
constexpr int kMaxAnswerTokens = 1'000'000;

json ParseBounded(std::string_view body) {
  int deepest = 0;
  const auto limit_depth = [&deepest](int depth, json::parse_event_t, json&) {
    deepest = std::max(deepest, depth);
    // Discards deeper values while parsing, so that a malicious body cannot exhaust the memory.
    return depth <= kMaxNestingDepth;
  };
  try {
    json value = json::parse(body, limit_depth);
    if (deepest > kMaxNestingDepth) {
      throw FieldError("", "the body is nested deeper than " + std::to_string(kMaxNestingDepth));
    }
    return value;
  } catch (const json::exception& e) {
    throw FieldError("", std::string("the body is not JSON: ") + e.what());
  }
}

std::string PromptText(const json& messages) {
  std::string text;
  for (const auto& message : messages) {
    if (!message.is_object()) throw FieldError("messages", "each message must be an object");
    const auto content = message.find("content");
    if (content == message.end()) throw FieldError("messages.content", "content is missing");
    const auto role = message.find("role");
    if (role != message.end() && !role->is_string()) {
      throw FieldError("messages.role", "role must be a string");
    }
    text += role == message.end() ? "user" : role->get<std::string>();
    text += '\n';
    text += content->is_string() ? content->get<std::string>() : content->dump();
    text += '\n';
  }
  return text;
}

std::vector<std::uint64_t> PrefixHashes(std::string_view text) {
  std::vector<std::uint64_t> hashes;
  std::uint64_t hash = 0;
  for (std::size_t at = 0;
       at + kPrefixBlockBytes <= text.size() && hashes.size() < kMaxPrefixBlocks;
       at += kPrefixBlockBytes) {
    hash = Hash64(text.substr(at, kPrefixBlockBytes), hash);
    hashes.push_back(hash);
  }
  return hashes;
}

}  // namespace

ChatRequest ParseChatRequest(std::string_view body) {
  const json value = ParseBounded(body);
  if (!value.is_object()) throw FieldError("", "the body must be a JSON object");
  const auto model = value.find("model");
  if (model == value.end() || !model->is_string() || model->get_ref<const std::string&>().empty()) {
    throw FieldError("model", "model must be a non-empty string");
  }
  const auto messages = value.find("messages");
  if (messages == value.end() || !messages->is_array() || messages->empty()) {
    throw FieldError("messages", "messages must be a non-empty array");
  }
  ChatRequest request;
  request.model = model->get<std::string>();
  const auto slash = request.model.find('/');
  if (slash != std::string::npos) {
    request.adapter = request.model.substr(slash + 1);
    request.model.resize(slash);
  }
  if (const auto stream = value.find("stream"); stream != value.end()) {
    if (!stream->is_boolean()) throw FieldError("stream", "stream must be true or false");
    request.stream = stream->get<bool>();
  }
  double answer_tokens = kDefaultAnswerTokens;
  if (const auto limit = value.find("max_tokens"); limit != value.end()) {
    if (!limit->is_number_integer() || limit->get<std::int64_t>() < 1 ||
        limit->get<std::int64_t>() > kMaxAnswerTokens) {
      throw FieldError("max_tokens", "max_tokens must be a whole number from 1 to 1000000");
    }
    answer_tokens = limit->get<double>();
  }
  const std::string prompt = PromptText(*messages);
  request.tokens = static_cast<double>(prompt.size()) / kBytesPerToken + answer_tokens;
  request.prefix_hashes = PrefixHashes(prompt);
  return request;
}

}  // namespace wagtailslip::codec
