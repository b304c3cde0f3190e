#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "wagtailslip/base/time.h"

namespace wagtailslip::spread {

/// Settings of a pacer, which covers one direction of one link.
struct PacerConfig {
  /// Capacity of the link in bytes per second.
  double link_rate = 0;
  /// Minimum and maximum share of the link that transfers may use in total.
  double floor_share = 0.1;
  double ceiling_share = 0.95;
  /// Maximum latency of live requests, as a multiple of their latency without transfers.
  double latency_factor = 1.1;
  /// Maximum queueing delay on the link.
  Duration queueing_limit = std::chrono::milliseconds(5);
  /// Minimum share of each transfer in its region's bandwidth. If the minimum shares of all
  /// transfers add up to more than 1, they are equal instead.
  double minimum_share = 0.1;
  /// Weights of the regions at the other end of the link. Regions that are not listed have
  /// weight 1.
  std::map<std::string, double> region_weights;
};

/// Divides one direction of a link between live traffic and the transfers of several rollouts.
///
/// The total rate of all transfers is controlled by feedback: it falls by a third each time live
/// latency or queueing delay exceeds its limit and rises otherwise, more slowly near the rate of
/// the last decrease. It is divided between the regions by weight. Within a region each transfer
/// gets a minimum share, and the one with the fewest remaining bytes gets the rest, so that an
/// adapter does not wait for a model. Bandwidth that a transfer or region cannot use goes to the
/// others.
class Pacer {
 public:
  /// @throws SpreadError if a rate, share or weight is out of range
  explicit Pacer(PacerConfig config);

  /// Identifies a transfer: its rollout and the region at the other end.
  using Key = std::pair<std::string, std::string>;

  /// Adds a transfer or updates its number of remaining bytes.
  void SetRemaining(const Key& key, std::uint64_t bytes, TimePoint now);

  /// Removes a finished or aborted transfer.
  void Remove(const Key& key, TimePoint now);

  /// Records the latency of one live request on this link.
  void OnLatency(Duration latency, TimePoint now);

  /// Records a measured queueing delay on this link.
  void OnQueueing(Duration delay, TimePoint now);

  /// Reserves bytes that the caller may send or receive now.
  /// @return number of bytes reserved, at most `bytes`; 0 if the transfer has to wait or is unknown
  std::uint64_t Take(const Key& key, std::uint64_t bytes, TimePoint now);

  /// Estimates the time until a transfer may take `bytes`. The actual time differs if other
  /// transfers start or end meanwhile.
  Duration Wait(const Key& key, std::uint64_t bytes) const;

  /// Current total rate of all transfers in bytes per second.
  double rate() const { return rate_; }

 private:
  struct Transfer {
    std::uint64_t remaining = 0;
    /// Bytes that may be taken now.
    double credit = 0;
    /// Bytes per second granted at the last call of Advance.
    double rate = 0;
  };
  using TransferEntry = std::pair<const Key, Transfer>;

  void Advance(TimePoint now);
  void Adjust(TimePoint now);
  double Distribute(std::vector<TransferEntry*>& entries, double bytes, double seconds);
  double MaxCredit() const;
  double WeightOf(const std::string& region) const;

  PacerConfig config_;
  double rate_;
  /// Rate before the last decrease; 0 before the first decrease.
  double last_decrease_rate_ = 0;
  std::map<Key, Transfer> transfers_;
  bool started_ = false;
  TimePoint advanced_at_;
  TimePoint adjusted_at_;
  /// Last time that a transfer took bytes.
  TimePoint used_at_;
  /// Mean latency of live requests in seconds, without transfers and currently; 0 before the first
  /// sample.
  double baseline_latency_ = 0;
  double latency_ = 0;
  TimePoint latency_at_;
  /// Longest queueing delay recorded since the last adjustment.
  Duration queueing_{};
};

}  // namespace wagtailslip::spread
