#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "wagtailslip/base/time.h"

namespace wagtailslip::spread {

/// Settings of one link in one direction.
struct PacerConfig {
  /// Rate of the link in bytes per second.
  double link_rate = 0;
  /// Smallest and largest share of the link that transfers use.
  double floor_share = 0.1;
  double ceiling_share = 0.95;
  /// Live latency is too high above this multiple of its value without transfers.
  double latency_factor = 1.1;
  /// Queueing on the link is too high above this time.
  Duration queueing_limit = std::chrono::milliseconds(5);
  /// Smallest share of each transfer in its region's part; with more transfers than fit, equal
  /// parts.
  double minimum_share = 0.1;
  /// Weights of the regions at the other end of the link; 1 for a region that is not named.
  std::map<std::string, double> region_weights;
};

/// Divides a link between live traffic and the transfers of several rollouts, in one direction.
///
/// The rate of all transfers falls by a third each time live latency or queueing is too high, and
/// rises otherwise, slowly around the rate of the
/// last cut. It is divided between the regions by weight. Within
/// a region each rollout has a minimum share and the one with the fewest bytes left gets the rest,
/// so that an adapter does not wait for a model. Unused parts go to the others.
class Pacer {
 public:
  /// @throws SpreadError if a rate, share or weight is out of range
  explicit Pacer(PacerConfig config);

  /// Names a transfer: rollout and region of the other end.
  using Key = std::pair<std::string, std::string>;

  /// Adds a transfer or changes the number of bytes it has left.
  void SetRemaining(const Key& key, std::uint64_t bytes, TimePoint now);

  /// Removes a transfer that ended.
  void Remove(const Key& key, TimePoint now);

  /// Handles the latency of one live request on this link.
  void OnLatency(Duration latency, TimePoint now);

  /// Handles a measured queueing delay on this link.
  void OnQueueing(Duration delay, TimePoint now);

  /// Takes bytes that may be sent or received now.
  /// @return at most `bytes`; 0 if the transfer has to wait or is not known
  std::uint64_t Take(const Key& key, std::uint64_t bytes, TimePoint now);

  /// Time until a transfer may take `bytes` if nothing changes; it may be shorter or longer when
  /// other transfers come or go.
  Duration Wait(const Key& key, std::uint64_t bytes) const;

  /// Bytes per second of all transfers.
  double rate() const { return rate_; }

 private:
  struct Transfer {
    std::uint64_t remaining = 0;
    /// Bytes that may be taken.
    double credit = 0;
    /// Bytes per second given in the last division.
    double rate = 0;
  };
  using Part = std::pair<const Key, Transfer>;

  void Advance(TimePoint now);
  void Adjust(TimePoint now);
  double Divide(std::vector<Part*>& parts, double bytes, double seconds);
  double CreditLimit() const;
  double WeightOf(const std::string& region) const;

  PacerConfig config_;
  double rate_;
  /// Rate at the last cut; 0 before the first.
  double last_cut_ = 0;
  std::map<Key, Transfer> transfers_;
  bool started_ = false;
  TimePoint advanced_at_;
  TimePoint adjusted_at_;
  /// Last time that a transfer took bytes.
  TimePoint used_at_;
  /// Mean live latency in seconds without transfers and at present; 0 before the first.
  double quiet_latency_ = 0;
  double latency_ = 0;
  TimePoint latency_at_;
  Duration queueing_{};
};

}  // namespace wagtailslip::spread
