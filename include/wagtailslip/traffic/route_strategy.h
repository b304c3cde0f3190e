#pragma once

#include <cstdint>
#include <memory>
#include <span>

#include "wagtailslip/traffic/prefix_hints.h"

namespace wagtailslip::traffic {

/// What a strategy may see of the endpoints. Endpoints are named by their position in the snapshot.
class RouteView {
 public:
  static constexpr std::uint32_t kNowhere = UINT32_MAX;

  virtual ~RouteView() = default;
  /// Estimated requests at the endpoint per slot after one more was sent; 1 means full.
  virtual double Load(std::uint32_t index) const = 0;
  /// Whether this process still has a part in the endpoint's slots that the last report showed as
  /// free. Where all processes prefer the same endpoint, only its free slots are filled.
  virtual bool HasRoom(std::uint32_t index) const = 0;
  /// Extra cost of the way to the endpoint, in the unit of Load.
  virtual double Distance(std::uint32_t index) const = 0;
  /// Leading blocks of the request's prompt that the endpoint probably holds.
  virtual std::uint32_t CachedBlocks(std::uint32_t index) const = 0;
  /// Endpoints that hold the longest known part of the prompt.
  virtual std::span<const PrefixHints::Match> matches() const = 0;
  /// Position of an endpoint, or kNowhere.
  virtual std::uint32_t IndexOf(EndpointNumber number) const = 0;
  /// Evenly distributed number below a bound.
  virtual std::uint64_t Random(std::uint64_t bound) = 0;
};

/// Chooses one of several endpoints that can serve a request.
class RouteStrategy {
 public:
  virtual ~RouteStrategy() = default;
  /// @param candidates positions in ascending order; not empty
  /// @param prefix block hashes of the prompt
  virtual std::uint32_t Pick(std::span<const std::uint32_t> candidates,
                             std::span<const std::uint64_t> prefix, RouteView& view) = 0;
};

/// Each endpoint in turn, beginning at a random one.
class RoundRobin final : public RouteStrategy {
 public:
  std::uint32_t Pick(std::span<const std::uint32_t> candidates,
                     std::span<const std::uint64_t> prefix, RouteView& view) override;

 private:
  std::uint64_t turn_ = 0;
  bool begun_ = false;
};

/// The endpoint with the lowest estimated load; ties are broken at random.
class LeastOutstanding final : public RouteStrategy {
 public:
  std::uint32_t Pick(std::span<const std::uint32_t> candidates,
                     std::span<const std::uint64_t> prefix, RouteView& view) override;
};

/// Compares two random endpoints and up to two that hold the prompt's prefix.
class PrefixAwareTwoChoices final : public RouteStrategy {
 public:
  /// Load that a fully cached prompt is worth: an endpoint that holds it may be busier by this.
  static constexpr double kPrefixWorth = 0.5;

  explicit PrefixAwareTwoChoices(double prefix_worth = kPrefixWorth)
      : prefix_worth_(prefix_worth) {}
  std::uint32_t Pick(std::span<const std::uint32_t> candidates,
                     std::span<const std::uint64_t> prefix, RouteView& view) override;

 private:
  double prefix_worth_;
};

}  // namespace wagtailslip::traffic
