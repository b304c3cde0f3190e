#include "wagtailslip/agreement/log.h"

namespace wagtailslip::agreement {

Log::Log(Index base, Term base_term, std::vector<Entry> entries)
    : base_(base), base_term_(base_term) {
  for (Entry& entry : entries) Append(std::move(entry));
}

Term Log::TermAt(Index index) const {
  WTS_INVARIANT(index >= base_ && index <= last());
  return index == base_ ? base_term_ : entries_[index - base_ - 1].term;
}

const Entry& Log::At(Index index) const {
  WTS_INVARIANT(index > base_ && index <= last());
  return entries_[index - base_ - 1];
}

void Log::Append(Entry entry) {
  WTS_INVARIANT(entry.index == last() + 1);
  WTS_INVARIANT(entry.term >= last_term());
  bytes_ += entry.data.size();
  entries_.push_back(std::move(entry));
}

void Log::TruncateFrom(Index index) {
  WTS_INVARIANT(index > base_);
  while (last() >= index) {
    bytes_ -= entries_.back().data.size();
    entries_.pop_back();
  }
  slice_.reset();
}

void Log::DropThrough(Index index) {
  WTS_INVARIANT(index <= last());
  while (base_ < index) {
    base_term_ = entries_.front().term;
    bytes_ -= entries_.front().data.size();
    entries_.pop_front();
    ++base_;
  }
}

void Log::Reset(Index base, Term base_term) {
  base_ = base;
  base_term_ = base_term;
  entries_.clear();
  bytes_ = 0;
  slice_.reset();
}

Entries Log::Slice(Index from, Index to, std::size_t max_entries, std::size_t max_bytes) {
  if (from > to) return nullptr;
  if (slice_ && slice_from_ == from && slice_to_ == to) return slice_;
  auto slice = std::make_shared<std::vector<Entry>>();
  slice->reserve(std::min<std::size_t>(max_entries, to - from + 1));
  std::size_t bytes = 0;
  for (Index i = from; i <= to && slice->size() < max_entries; ++i) {
    const Entry& entry = At(i);
    bytes += entry.data.size();
    if (!slice->empty() && bytes > max_bytes) break;
    slice->push_back(entry);
  }
  slice_from_ = from;
  slice_to_ = to;
  slice_ = std::move(slice);
  return slice_;
}

}  // namespace wagtailslip::agreement
