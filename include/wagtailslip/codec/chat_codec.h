#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailslip/codec/error.h"

namespace wagtailslip::codec {

/// A member of a request body that may not be used.
class FieldError : public CodecError {
 public:
  FieldError(std::string field, const std::string& message)
      : CodecError(message), field_(std::move(field)) {}
  const std::string& field() const { return field_; }

 private:
  std::string field_;
};

/// What routing needs of a chat completion request. The body itself is passed on unchanged.
struct ChatRequest {
  std::string model;
  /// Part of the model name after '/'; empty for none.
  std::string adapter;
  bool stream = false;
  /// Estimated tokens of prompt and answer.
  double tokens = 1;
  /// Hash of the prompt up to the end of each block, from the first block on.
  std::vector<std::uint64_t> prefix_hashes;
};

/// Parses the body of `POST /v1/chat/completions`.
/// @throws FieldError naming the member at fault
ChatRequest ParseChatRequest(std::string_view body);

}  // namespace wagtailslip::codec
