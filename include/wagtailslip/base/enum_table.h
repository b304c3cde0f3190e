#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace wagtailslip {

/// The names of an enumeration's values, in one table.
/// Example: constexpr EnumTable<Color, 2> kColors{{{Color::kRed, "red"}, {Color::kBlue, "blue"}}};
template <typename E, std::size_t N>
struct EnumTable {
  std::array<std::pair<E, std::string_view>, N> rows;

  /// Name of a value; "?" for a value outside the table.
  constexpr std::string_view Name(E value) const {
    for (const auto& row : rows) {
      if (row.first == value) return row.second;
    }
    return "?";
  }

  /// Value with the given name, or nothing.
  constexpr std::optional<E> Find(std::string_view name) const {
    for (const auto& row : rows) {
      if (row.second == name) return row.first;
    }
    return std::nullopt;
  }
};

}  // namespace wagtailslip
