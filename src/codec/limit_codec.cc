#include "wagtailslip/codec/limit_codec.h"

#include "gen/wagtailslip_types.h"

namespace wagtailslip::codec {
namespace {

wire::LocalStamp StampToWire(const traffic::LocalStamp& stamp) {
  wire::LocalStamp w;
  w.incarnation = static_cast<std::int64_t>(stamp.incarnation);
  w.nanoseconds = stamp.nanoseconds;
  return w;
}

traffic::LocalStamp StampFromWire(const wire::LocalStamp& w) {
  return {static_cast<std::uint64_t>(w.incarnation), w.nanoseconds};
}

struct MessageWriter {
  wire::LimitMessage& w;

  void SetHeader(const std::string& from, const std::string& to, const traffic::LocalStamp& stamp,
                 const traffic::LocalStamp& echo) const {
    w.sender = from;
    w.receiver = to;
    w.stamp = StampToWire(stamp);
    w.echo = StampToWire(echo);
  }
  void operator()(const traffic::ShareReport& d) const {
    SetHeader(d.from, d.to, d.stamp, d.echo);
    for (const auto& it : d.rows) {
      auto& row = w.rows.emplace_back();
      row.account = it.key.account;
      row.kind = it.key.kind;
      row.demand = it.demand;
      row.lent = it.lent;
    }
  }
  void operator()(const traffic::ShareGrant& d) const {
    w.grant = true;
    SetHeader(d.from, d.to, d.stamp, d.echo);
    for (const auto& it : d.rows) {
      auto& row = w.rows.emplace_back();
      row.account = it.key.account;
      row.kind = it.key.kind;
      row.rate = it.rate;
      row.wanted = it.wanted;
    }
  }
};

}  // namespace

wire::LimitMessage ToWire(const traffic::LimitMessage& message) {
  wire::LimitMessage w;
  std::visit(MessageWriter{w}, message);
  return w;
}

traffic::LimitMessage LimitsFromWire(const wire::LimitMessage& w) {
  if (w.grant) {
    traffic::ShareGrant grant{w.sender, w.receiver, StampFromWire(w.stamp), StampFromWire(w.echo)};
    for (const auto& it : w.rows) grant.rows.push_back({{it.account, it.kind}, it.rate, it.wanted});
    return grant;
  }
  traffic::ShareReport report{w.sender, w.receiver, StampFromWire(w.stamp), StampFromWire(w.echo)};
  for (const auto& it : w.rows) report.rows.push_back({{it.account, it.kind}, it.demand, it.lent});
  return report;
}

}  // namespace wagtailslip::codec
