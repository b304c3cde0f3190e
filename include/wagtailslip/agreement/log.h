#pragma once

#include <cstddef>
#include <deque>
#include <vector>

#include "wagtailslip/agreement/types.h"

namespace wagtailslip::agreement {

/// The part of the replicated log that is held in memory: the entries after a base index.
class Log {
 public:
  Log() = default;
  /// @param base index of the entry before the first one held
  Log(Index base, Term base_term, std::vector<Entry> entries);

  Index base() const { return base_; }
  Index last() const { return base_ + entries_.size(); }
  Term last_term() const { return entries_.empty() ? base_term_ : entries_.back().term; }
  /// Bytes of entry data held.
  std::size_t bytes() const { return bytes_; }
  /// Term of the entry at `index`, for base() <= `index` <= last().
  Term TermAt(Index index) const;
  const Entry& At(Index index) const;
  void Append(Entry entry);
  void TruncateFrom(Index index);
  /// Drops the entries up to and including `index`.
  void DropThrough(Index index);
  void Reset(Index base, Term base_term);
  /// Entries from `from` to at most `to`, within both limits but at least one if `from` <= `to`.
  /// The last slice is cached, so that receivers at the same index share one copy.
  Entries Slice(Index from, Index to, std::size_t max_entries, std::size_t max_bytes);

 private:
  Index base_ = 0;
  Term base_term_ = 0;
  std::deque<Entry> entries_;
  std::size_t bytes_ = 0;
  Index slice_from_ = 0;
  Index slice_to_ = 0;
  Entries slice_;
};

}  // namespace wagtailslip::agreement
