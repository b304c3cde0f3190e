#include "wagtailslip/codec/agreement_codec.h"

#include "field_copy.h"
#include "gen/wagtailslip_types.h"

namespace wagtailslip::codec {
namespace {

std::int64_t ToNs(TimePoint time) { return time.time_since_epoch().count(); }
TimePoint FromNs(std::int64_t ns) { return TimePoint(Duration(ns)); }

wire::ReplicaId IdToWire(const agreement::ReplicaId& id) {
  wire::ReplicaId w;
  w.process = id.process;
  w.incarnation = static_cast<std::int64_t>(id.incarnation);
  return w;
}

agreement::ReplicaId IdFromWire(const wire::ReplicaId& w) {
  return {w.process, static_cast<std::uint64_t>(w.incarnation)};
}

template <typename Integer>
std::int64_t Signed(Integer value) {
  return static_cast<std::int64_t>(value);
}

std::uint64_t Unsigned(std::int64_t value) { return static_cast<std::uint64_t>(value); }

/// Writes a message body to the corresponding field of the wire union.
struct BodyWriter {
  wire::AgreementBody& w;

  void operator()(const agreement::VoteRequest& d) const {
    wire::VoteRequest v;
    v.pre_vote = d.pre_vote;
    v.last_index = Signed(d.last_index);
    v.last_term = Signed(d.last_term);
    v.after_restart = d.after_restart;
    w.__set_vote_request(v);
  }
  void operator()(const agreement::VoteReply& d) const {
    wire::VoteReply v;
    v.pre_vote = d.pre_vote;
    v.granted = d.granted;
    w.__set_vote_reply(v);
  }
  void operator()(const agreement::AppendRequest& d) const {
    auto& v = w.append_request;
    w.__isset.append_request = true;
    v.prev_index = Signed(d.prev_index);
    v.prev_term = Signed(d.prev_term);
    v.commit = Signed(d.commit);
    v.sent_at_ns = ToNs(d.sent_at);
    if (!d.entries) return;
    for (const auto& it : *d.entries) {
      auto& entry = v.entries.emplace_back();
      entry.index = Signed(it.index);
      entry.term = Signed(it.term);
      entry.kind = static_cast<std::int16_t>(it.kind);
      entry.data = it.data;
    }
  }
  void operator()(const agreement::AppendReply& d) const {
    wire::AppendReply v;
    v.success = d.success;
    v.match = Signed(d.match);
    v.prev_index = Signed(d.prev_index);
    v.hint_index = Signed(d.hint_index);
    v.hint_term = Signed(d.hint_term);
    v.sent_at_ns = ToNs(d.sent_at);
    w.__set_append_reply(v);
  }
  void operator()(const agreement::SnapshotPart& d) const {
    auto& v = w.snapshot_part;
    w.__isset.snapshot_part = true;
    v.index = Signed(d.index);
    v.index_term = Signed(d.index_term);
    v.offset = Signed(d.offset);
    v.total = Signed(d.total);
    v.data = d.data;
    v.sent_at_ns = ToNs(d.sent_at);
    for (const auto& [id, role] : d.membership.members()) {
      auto& member = v.membership.emplace_back();
      member.id = IdToWire(id);
      member.role = static_cast<std::int16_t>(role);
    }
  }
  void operator()(const agreement::SnapshotReply& d) const {
    wire::SnapshotReply v;
    v.index = Signed(d.index);
    v.next_offset = Signed(d.next_offset);
    v.sent_at_ns = ToNs(d.sent_at);
    w.__set_snapshot_reply(v);
  }
};

agreement::AppendRequest AppendFromWire(const wire::AppendRequest& w) {
  agreement::AppendRequest d;
  d.prev_index = Unsigned(w.prev_index);
  d.prev_term = Unsigned(w.prev_term);
  d.commit = Unsigned(w.commit);
  d.sent_at = FromNs(w.sent_at_ns);
  if (w.entries.empty()) return d;
  auto entries = std::make_shared<std::vector<agreement::Entry>>();
  for (const auto& it : w.entries) {
    if (it.kind < 0 || it.kind > static_cast<int>(agreement::EntryKind::kMembership)) {
      throw CodecError("entry kind is out of range");
    }
    entries->push_back({Unsigned(it.index), Unsigned(it.term),
                        static_cast<agreement::EntryKind>(it.kind), it.data});
  }
  d.entries = std::move(entries);
  return d;
}

agreement::SnapshotPart SnapshotFromWire(const wire::SnapshotPart& w) {
  agreement::SnapshotPart d;
  d.index = Unsigned(w.index);
  d.index_term = Unsigned(w.index_term);
  d.offset = Unsigned(w.offset);
  d.total = Unsigned(w.total);
  d.data = w.data;
  d.sent_at = FromNs(w.sent_at_ns);
  for (const auto& it : w.membership) {
    if (it.role < 0 || it.role > static_cast<int>(agreement::MemberRole::kVoter)) {
      throw CodecError("member role is out of range");
    }
    d.membership.Set(IdFromWire(it.id), static_cast<agreement::MemberRole>(it.role));
  }
  return d;
}

agreement::MessageBody BodyFromWire(const wire::AgreementBody& w) {
  if (w.__isset.append_request) return AppendFromWire(w.append_request);
  if (w.__isset.append_reply) {
    const auto& v = w.append_reply;
    return agreement::AppendReply{v.success,
                                  Unsigned(v.match),
                                  Unsigned(v.prev_index),
                                  Unsigned(v.hint_index),
                                  Unsigned(v.hint_term),
                                  FromNs(v.sent_at_ns)};
  }
  if (w.__isset.vote_request) {
    const auto& v = w.vote_request;
    return agreement::VoteRequest{v.pre_vote, Unsigned(v.last_index), Unsigned(v.last_term),
                                  v.after_restart};
  }
  if (w.__isset.vote_reply)
    return agreement::VoteReply{w.vote_reply.pre_vote, w.vote_reply.granted};
  if (w.__isset.snapshot_part) return SnapshotFromWire(w.snapshot_part);
  if (w.__isset.snapshot_reply) {
    const auto& v = w.snapshot_reply;
    return agreement::SnapshotReply{Unsigned(v.index), Unsigned(v.next_offset),
                                    FromNs(v.sent_at_ns)};
  }
  throw CodecError("agreement message has no known body");
}

}  // namespace

wire::AgreementMessage ToWire(const agreement::Message& message) {
  wire::AgreementMessage w;
  w.sender = IdToWire(message.from);
  w.receiver = IdToWire(message.to);
  w.term = Signed(message.term);
  std::visit(BodyWriter{w.body}, message.body);
  return w;
}

agreement::Message FromWire(const wire::AgreementMessage& message) {
  return {IdFromWire(message.sender), IdFromWire(message.receiver), Unsigned(message.term),
          BodyFromWire(message.body)};
}

}  // namespace wagtailslip::codec
