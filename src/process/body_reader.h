#pragma once

#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "api_error.h"
#include "wagtailslip/base/enum_table.h"

namespace wagtailslip::process {

/// Reads the members of a JSON request body. Every problem is an ApiError that names the member.
class BodyReader {
 public:
  /// @throws ApiError if the text is not a JSON object
  explicit BodyReader(const std::string& text);

  std::string Text(const std::string& name, const std::string& fallback);
  std::string Text(const std::string& name);
  std::uint64_t Number(const std::string& name, std::uint64_t fallback, std::uint64_t lowest,
                       std::uint64_t highest);
  double Real(const std::string& name, double fallback, double lowest, double highest);
  bool Flag(const std::string& name, bool fallback);
  template <typename E, std::size_t N>
  E Choice(const std::string& name, const EnumTable<E, N>& table, E fallback) {
    const std::string text = Text(name, std::string(table.Name(fallback)));
    const auto value = table.Find(text);
    if (!value) throw ApiError(400, "invalid_value", "'" + text + "' is not allowed", name);
    return *value;
  }
  /// @throws ApiError if the body has members that were not read
  void Finish() const;

 private:
  const nlohmann::json* Find(const std::string& name);

  nlohmann::json body_;
  std::set<std::string> read_;
};

}  // namespace wagtailslip::process
