#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailslip/codec/error.h"

namespace wagtailslip::codec {

/// A field of a request body is missing or invalid.
class FieldError : public CodecError {
 public:
  FieldError(std::string field, const std::string& message)
      : CodecError(message), field_(std::move(field)) {}
  const std::string& field() const { return field_; }

 private:
  std::string field_;
};

/// Fields of a chat completion request that routing needs. The body itself is forwarded unchanged.
struct ChatRequest {
  std::string model;
  /// Part of the model name after '/'; empty if there is none.
  std::string adapter;
  bool stream = false;
  /// Estimated number of tokens of the prompt and the answer.
  double tokens = 1;
  /// One hash per block of the prompt, each over the prompt up to the end of its block.
  std::vector<std::uint64_t> prefix_hashes;
};

/// Parses the body of `POST /v1/chat/completions`.
/// @throws FieldError with the name of the invalid field
ChatRequest ParseChatRequest(std::string_view body);

}  // namespace wagtailslip::codec
