#include "body_reader.h"

#include <cmath>

namespace wagtailslip::process {

BodyReader::BodyReader(const std::string& text) {
  body_ = nlohmann::json::parse(text, nullptr, false);
  if (!body_.is_object()) throw ApiError(400, "invalid_json", "the body must be a JSON object");
}

const nlohmann::json* BodyReader::Find(const std::string& name) {
  read_.insert(name);
  const auto it = body_.find(name);
  return it == body_.end() || it->is_null() ? nullptr : &*it;
}

std::string BodyReader::Text(const std::string& name, const std::string& fallback) {
  const auto* value = Find(name);
  if (value == nullptr) return fallback;
  if (!value->is_string()) throw ApiError(400, "invalid_type", "a string is expected", name);
  return value->get<std::string>();
}

std::string BodyReader::Text(const std::string& name) {
  std::string text = Text(name, "");
  if (text.empty()) throw ApiError(400, "missing_member", "a non-empty string is expected", name);
  return text;
}

std::uint64_t BodyReader::Number(const std::string& name, std::uint64_t fallback,
                                 std::uint64_t lowest, std::uint64_t highest) {
  const auto* value = Find(name);
  if (value == nullptr) return fallback;
  const bool whole = value->is_number_unsigned();
  if (!whole || value->get<std::uint64_t>() < lowest || value->get<std::uint64_t>() > highest) {
    throw ApiError(400, "invalid_value",
                   "a whole number from " + std::to_string(lowest) + " to " +
                       std::to_string(highest) + " is expected",
                   name);
  }
  return value->get<std::uint64_t>();
}

double BodyReader::Real(const std::string& name, double fallback, double lowest, double highest) {
  const auto* value = Find(name);
  if (value == nullptr) return fallback;
  const double number = value->is_number() ? value->get<double>() : NAN;
  if (!(number >= lowest && number <= highest)) {
    throw ApiError(400, "invalid_value",
                   "a number from " + std::to_string(lowest) + " to " + std::to_string(highest) +
                       " is expected",
                   name);
  }
  return number;
}

bool BodyReader::Flag(const std::string& name, bool fallback) {
  const auto* value = Find(name);
  if (value == nullptr) return fallback;
  if (!value->is_boolean()) throw ApiError(400, "invalid_type", "true or false is expected", name);
  return value->get<bool>();
}

void BodyReader::Finish() const {
  for (const auto& [name, value] : body_.items()) {
    if (!read_.contains(name)) {
      throw ApiError(400, "unknown_member", "the body has no such member", name);
    }
  }
}

}  // namespace wagtailslip::process
