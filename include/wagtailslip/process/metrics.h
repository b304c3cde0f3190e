#pragma once

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <cstdint>
#include <string>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/time.h"

namespace wagtailslip::process {

/// Counters of a process, exported under the names of kCounters.
enum class Counter {
  kRequests,
  kComplete,
  kNotRun,
  kUnknown,
  kStreamCut,
  kAnswerRejected,
  kRetries,
  kTokens,
  kRecordedAnswers,
  kStaleLookups,
  kFetchedBytesPeer,
  kFetchedBytesOrigin,
  kServedChunkBytes,
  kChunksRejected,
  kRefusedByLimit,
  kPermitsGranted,
  kPermitsTaken,
  kPermitsReturned,
  kPermitsExpired,
  kPermitsOwnShare,
  kLoadsDamaged,
  kRetryPermitsGranted,
  kRetryPermitsUsed,
  kRetryPermitsExpired,
  kRetriesOwnShare,
  kRetriesDenied,
  kRefusedByPart,
  kHeldBackByPart,
  kPartTrials,
  kAttemptsEnded,
  kRefusedByRequestKey,
  kHeldBackByRequestKey,
  kRequestTrials,
  kWarmupLeasesAcquired,
  kWarmupLeasesRenewed,
  kWarmupLeasesDenied,
  kWarmupSent,
  kWarmupMissed,
  kWarmupWithheld,
  kWithdrawnBeforeWeightsBound,
  kAnswersOvertaken,
  kWeightsDropped,
  kAnnouncementsUnreadable,
  kAnnouncementsMissingField,
  kAnnouncementsWrongType,
  kAnnouncementsOutOfRange,
  kAnnouncementsInvalidValue,
};
inline constexpr std::size_t kCounterCount = 47;
inline constexpr EnumTable<Counter, kCounterCount> kCounters{
    {{{Counter::kRequests, "requests_total"},
      {Counter::kComplete, "requests_complete_total"},
      {Counter::kNotRun, "requests_not_run_total"},
      {Counter::kUnknown, "requests_unknown_total"},
      {Counter::kStreamCut, "streams_cut_total"},
      {Counter::kAnswerRejected, "answers_rejected_total"},
      {Counter::kRetries, "retries_total"},
      {Counter::kTokens, "stream_pieces_total"},
      {Counter::kRecordedAnswers, "recorded_answers_total"},
      {Counter::kStaleLookups, "stale_lookups_total"},
      {Counter::kFetchedBytesPeer, "fetched_bytes_peer_total"},
      {Counter::kFetchedBytesOrigin, "fetched_bytes_origin_total"},
      {Counter::kServedChunkBytes, "served_chunk_bytes_total"},
      {Counter::kChunksRejected, "chunks_rejected_total"},
      {Counter::kRefusedByLimit, "requests_refused_by_limit_total"},
      {Counter::kPermitsGranted, "permits_granted_total"},
      {Counter::kPermitsTaken, "permits_taken_total"},
      {Counter::kPermitsReturned, "permits_returned_total"},
      {Counter::kPermitsExpired, "permits_expired_total"},
      {Counter::kPermitsOwnShare, "permits_own_share_total"},
      {Counter::kLoadsDamaged, "weights_loads_damaged_total"},
      {Counter::kRetryPermitsGranted, "retry_permits_granted_total"},
      {Counter::kRetryPermitsUsed, "retry_permits_used_total"},
      {Counter::kRetryPermitsExpired, "retry_permits_expired_total"},
      {Counter::kRetriesOwnShare, "retries_own_share_total"},
      {Counter::kRetriesDenied, "retries_denied_total"},
      {Counter::kRefusedByPart, "requests_refused_by_prompt_part_total"},
      {Counter::kHeldBackByPart, "requests_held_back_by_prompt_part_total"},
      {Counter::kPartTrials, "prompt_part_trials_total"},
      {Counter::kAttemptsEnded, "attempts_ended_with_engine_total"},
      {Counter::kRefusedByRequestKey, "requests_refused_by_request_key_total"},
      {Counter::kHeldBackByRequestKey, "requests_held_back_by_request_key_total"},
      {Counter::kRequestTrials, "request_trials_total"},
      {Counter::kWarmupLeasesAcquired, "warmup_leases_acquired_total"},
      {Counter::kWarmupLeasesRenewed, "warmup_leases_renewed_total"},
      {Counter::kWarmupLeasesDenied, "warmup_leases_denied_total"},
      {Counter::kWarmupSent, "warmup_requests_sent_total"},
      {Counter::kWarmupMissed, "warmup_requests_missed_total"},
      {Counter::kWarmupWithheld, "warmup_requests_withheld_total"},
      {Counter::kWithdrawnBeforeWeightsBound, "requests_withdrawn_before_weights_bound_total"},
      {Counter::kAnswersOvertaken, "answers_on_overtaken_weights_total"},
      {Counter::kWeightsDropped, "weights_dropped_total"},
      {Counter::kAnnouncementsUnreadable, "announcements_refused_unreadable_total"},
      {Counter::kAnnouncementsMissingField, "announcements_refused_missing_field_total"},
      {Counter::kAnnouncementsWrongType, "announcements_refused_wrong_type_total"},
      {Counter::kAnnouncementsOutOfRange, "announcements_refused_out_of_range_total"},
      {Counter::kAnnouncementsInvalidValue, "announcements_refused_invalid_value_total"}}}};

/// Present values of a process, exported under the names of kGauges.
enum class Gauge { kDrainedDomains };
inline constexpr std::size_t kGaugeCount = 1;
inline constexpr EnumTable<Gauge, kGaugeCount> kGauges{
    {{{Gauge::kDrainedDomains, "drained_domains"}}}};

/// Latency histograms of a process in milliseconds.
enum class Latency { kRequest, kFirstByte, kQueue, kCommit };
inline constexpr std::size_t kLatencyCount = 4;
inline constexpr EnumTable<Latency, kLatencyCount> kLatencies{
    {{{Latency::kRequest, "request_ms"},
      {Latency::kFirstByte, "first_byte_ms"},
      {Latency::kQueue, "queue_ms"},
      {Latency::kCommit, "commit_ms"}}}};

/// Counters, gauges and latency histograms; all members are safe from any thread.
class Metrics {
 public:
  Metrics();

  void Add(Counter counter, std::uint64_t n = 1) {
    counters_[static_cast<std::size_t>(counter)].fetch_add(n, std::memory_order_relaxed);
  }
  std::uint64_t Value(Counter counter) const {
    return counters_[static_cast<std::size_t>(counter)].load(std::memory_order_relaxed);
  }
  void Set(Gauge gauge, std::uint64_t value) {
    gauges_[static_cast<std::size_t>(gauge)].store(value, std::memory_order_relaxed);
  }
  void Record(Latency latency, Duration value);

  /// Prometheus text form.
  std::string Text() const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Cell = boost::histogram::accumulators::thread_safe<std::uint64_t>;
  using Histogram =
      boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<Cell>>;

  std::array<std::atomic<std::uint64_t>, kCounterCount> counters_{};
  std::array<std::atomic<std::uint64_t>, kGaugeCount> gauges_{};
  std::vector<Histogram> histograms_;
};

}  // namespace wagtailslip::process
