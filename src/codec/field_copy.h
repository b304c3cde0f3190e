#pragma once

#include <concepts>
#include <string>
#include <type_traits>
#include <vector>

#include "wagtailslip/base/digest.h"
#include "wagtailslip/base/time.h"
#include "wagtailslip/codec/error.h"
#include "wagtailslip/config/state.h"
#include "wagtailslip/rollout/controller.h"

namespace wagtailslip::codec {

/// Copies a field of a domain struct to its wire struct. ToWireCopy and FromWireCopy are called in
/// the same way, so that one function per struct lists its fields for both directions.
struct ToWireCopy {
  template <typename D, typename W>
  void operator()(const D& domain, W& wire) const {
    if constexpr (std::is_enum_v<D>) {
      wire = static_cast<W>(domain);
    } else if constexpr (std::same_as<D, Digest>) {
      wire.assign(reinterpret_cast<const char*>(domain.bytes.data()), domain.bytes.size());
    } else if constexpr (std::same_as<D, Duration>) {
      wire = domain.count();
    } else if constexpr (std::same_as<D, UtcTime>) {
      wire = domain.time_since_epoch().count();
    } else if constexpr (std::is_arithmetic_v<D>) {
      wire = static_cast<W>(domain);
    } else {
      wire = domain;
    }
  }
};

/// Number of values of an enum that is encoded; 0 for all other enums.
template <typename E>
inline constexpr int kEnumSize = 0;
template <>
inline constexpr int kEnumSize<config::ArtifactKind> = config::kArtifactKinds.rows.size();
template <>
inline constexpr int kEnumSize<config::SpreadPolicy> = config::kSpreadPolicies.rows.size();
template <>
inline constexpr int kEnumSize<config::RolloutAction> = config::kRolloutActions.rows.size();
template <>
inline constexpr int kEnumSize<config::CallClass> = config::kCallClasses.rows.size();
template <>
inline constexpr int kEnumSize<config::EndpointRole> = config::kEndpointRoles.rows.size();
template <>
inline constexpr int kEnumSize<config::CallOutcome> = config::kCallOutcomes.rows.size();
template <>
inline constexpr int kEnumSize<config::ApplyStatus> = config::kApplyStatuses.rows.size();
template <>
inline constexpr int kEnumSize<rollout::OrderKind> = rollout::kOrderKinds.rows.size();

/// Copies a field of a wire struct to its domain struct and checks the range of enum values.
struct FromWireCopy {
  template <typename D, typename W>
  void operator()(D& domain, const W& wire) const {
    if constexpr (std::is_enum_v<D>) {
      static_assert(kEnumSize<D> > 0, "add the enumeration to kEnumSize");
      if (wire < 0 || wire >= kEnumSize<D>) throw CodecError("enumeration value is out of range");
      domain = static_cast<D>(wire);
    } else if constexpr (std::same_as<D, Digest>) {
      if (wire.size() != domain.bytes.size()) throw CodecError("digest has the wrong length");
      std::copy(wire.begin(), wire.end(), domain.bytes.begin());
    } else if constexpr (std::same_as<D, Duration>) {
      domain = Duration(wire);
    } else if constexpr (std::same_as<D, UtcTime>) {
      domain = UtcTime(Duration(wire));
    } else if constexpr (std::is_arithmetic_v<D>) {
      domain = static_cast<D>(wire);
    } else {
      domain = wire;
    }
  }
};

}  // namespace wagtailslip::codec
