#include "wagtailslip/codec/state_codec.h"

#include "record_fields.h"
#include "wagtailslip/codec/compact.h"

namespace wagtailslip::codec {
namespace {

// Each function lists the fields of one struct, as in record_fields.h.

template <typename C, typename D, typename W>
void CopyCachedResult(const C& copy, D& d, W& w) {
  copy(d.content, w.content);
  CopyResult(copy, d.result, w.answer);
}

template <typename C, typename D, typename W>
void CopyArtifact(const C& copy, D& d, W& w) {
  copy(d.version, w.version);
  copy(d.base_version, w.base_version);
  copy(d.root, w.root);
  copy(d.origin, w.origin);
  copy(d.policy, w.policy);
  copy(d.rollout_id, w.rollout_id);
}

template <typename C, typename D, typename W>
void CopyRollout(const C& copy, D& d, W& w) {
  copy(d.id, w.id);
  CopyCreateRollout(copy, d.spec, w.spec);
  copy(d.state, w.state);
  copy(d.created, w.created);
  copy(d.revision, w.revision);
  copy(d.failed, w.failed);
  copy(d.rollback_failed, w.return_failed);
  copy(d.reason, w.reason);
  copy(d.state_revision, w.turned);
  copy(d.batches, w.batches);
}

template <typename C, typename D, typename W>
void CopyAssignment(const C& copy, D& d, W& w) {
  CopyArtifact(copy, d.artifact, w.artifact);
  copy(d.previous, w.previous);
  copy(d.swapped, w.done);
  copy(d.revision, w.revision);
}

/// Copies a map and converts its values with `copy_value`.
template <typename C, typename From, typename To, typename F>
void CopyMap(const C& copy, const From& from, To& to, F copy_value) {
  for (const auto& [key, value] : from) {
    if constexpr (std::same_as<C, ToWireCopy>) {
      copy_value(copy, value, to[key]);
    } else {
      copy_value(copy, to[key], value);
    }
  }
}

template <typename C, typename D, typename W>
void CopyVersionHistoryFields(const C& copy, D& d, W& w) {
  copy(d.model, w.model);
  copy(d.adapter, w.adapter);
  copy(d.command_revision, w.command_revision);
  copy(d.request_id, w.request_id);
  copy(d.rollout_id, w.rollout_id);
  copy(d.last_good_revision, w.last_good_revision);
}

constexpr auto kCopyAssignment = [](const auto& copy, auto& d, auto& w) {
  CopyAssignment(copy, d, w);
};

void VersionHistoryToWire(const ToWireCopy& copy, const config::VersionHistory& d, wire::Line& w) {
  CopyVersionHistoryFields(copy, d, w);
  if (d.last_good) {
    CopyArtifact(copy, *d.last_good, w.last_good);
    w.__isset.last_good = true;
  }
  if (d.previous_good) {
    CopyArtifact(copy, *d.previous_good, w.previous_good);
    w.__isset.previous_good = true;
  }
  for (const auto& it : d.permitted_roots) copy(it, w.tolerated.emplace_back());
  CopyMap(copy, d.assignments, w.assigned, kCopyAssignment);
}

void VersionHistoryFromWire(const FromWireCopy& copy, config::VersionHistory& d,
                            const wire::Line& w) {
  CopyVersionHistoryFields(copy, d, w);
  if (w.__isset.last_good) CopyArtifact(copy, d.last_good.emplace(), w.last_good);
  if (w.__isset.previous_good) CopyArtifact(copy, d.previous_good.emplace(), w.previous_good);
  for (const auto& it : w.tolerated) copy(d.permitted_roots.emplace_back(), it);
  CopyMap(copy, w.assigned, d.assignments, kCopyAssignment);
}

template <typename C, typename D, typename W>
void CopyRuleEntry(const C& copy, D& d, W& w) {
  copy(d.command_revision, w.command_revision);
  copy(d.request_id, w.request_id);
  CopyRuleFields(copy, d.rule, w.rule.rule);
}

template <typename C, typename D, typename W>
void CopyAppliedChange(const C& copy, D& d, W& w) {
  copy(d.id, w.id);
  copy(d.content, w.content);
  copy(d.effective_at, w.effective_at_ns);
  copy(d.applied_at, w.applied_at_ns);
  copy(d.late, w.late);
  CopyResult(copy, d.result, w.result);
}

template <typename C, typename D, typename W>
void CopySheetFields(const C& copy, D& d, W& w) {
  copy(d.command_revision, w.command_revision);
  copy(d.request_id, w.request_id);
  copy(d.content, w.content);
  copy(d.clock, w.clock_ns);
}

void SheetToWire(const ToWireCopy& copy, const config::Sheet& d, wire::Sheet& w) {
  CopySheetFields(copy, d, w);
  for (const auto& it : d.pending) {
    auto& row = w.pending.emplace_back();
    row.change = ScheduledToWire(it.change);
    row.id = it.id;
  }
  for (const auto& it : d.applied_changes) CopyAppliedChange(copy, it, w.effected.emplace_back());
}

void SheetFromWire(const FromWireCopy& copy, config::Sheet& d, const wire::Sheet& w) {
  CopySheetFields(copy, d, w);
  for (const auto& it : w.pending) d.pending.push_back({ScheduledFromWire(it.change), it.id});
  for (const auto& it : w.effected) CopyAppliedChange(copy, d.applied_changes.emplace_back(), it);
}

template <typename C, typename D, typename W>
void CopyEndpoint(const C& copy, D& d, W& w) {
  CopyEndpointJoined(copy, d.info, w.info);
  copy(d.present, w.present);
  copy(d.draining, w.draining);
  copy(d.joined, w.joined);
  copy(d.left, w.left);
  copy(d.left_reason, w.left_reason);
  copy(d.command_revision, w.command_revision);
  copy(d.request_id, w.request_id);
}

template <typename C, typename D, typename W>
void CopyProcess(const C& copy, D& d, W& w) {
  CopyProcessStarted(copy, d.info, w.info);
  copy(d.present, w.present);
  copy(d.revision, w.revision);
}

template <typename C, typename D, typename W>
void CopyCall(const C& copy, D& d, W& w) {
  copy(d.account, w.account);
  copy(d.key, w.key);
  copy(d.request, w.request);
  copy(d.owner, w.owner);
  copy(d.owner_incarnation, w.owner_incarnation);
  copy(d.at, w.at_ns);
  copy(d.sequence, w.sequence);
  copy(d.runs, w.runs);
  copy(d.outcome, w.outcome);
  copy(d.status, w.status);
  copy(d.content_type, w.content_type);
  copy(d.body, w.body);
  copy(d.body_kept, w.body_kept);
  copy(d.body_digest, w.body_digest);
  copy(d.attempt, w.attempt);
}

template <typename C, typename From, typename To>
void CopyStateMaps(const C& copy, const From& from, To& to) {
  const auto copy_map = [&](const auto& source, auto& target, auto copy_value) {
    CopyMap(copy, source, target, copy_value);
  };
  copy_map(from.commands, to.commands,
           [](const auto& c, auto& d, auto& w) { CopyCachedResult(c, d, w); });
  copy_map(from.rollouts, to.rollouts,
           [](const auto& c, auto& d, auto& w) { CopyRollout(c, d, w); });
  copy_map(from.rules, to.rules, [](const auto& c, auto& d, auto& w) { CopyRuleEntry(c, d, w); });
  copy_map(from.endpoints, to.endpoints,
           [](const auto& c, auto& d, auto& w) { CopyEndpoint(c, d, w); });
  copy_map(from.processes, to.processes,
           [](const auto& c, auto& d, auto& w) { CopyProcess(c, d, w); });
  copy_map(from.calls, to.calls, [](const auto& c, auto& d, auto& w) { CopyCall(c, d, w); });
}

template <typename C, typename D, typename W>
void CopyStateFields(const C& copy, D& d, W& w) {
  copy(d.revision, w.revision);
  copy(d.evicted_command_revision, w.forgotten);
  copy(d.next_sequence, w.next_sequence);
  copy(d.call_clock, w.call_clock_ns);
  copy(d.expired_keys_until, w.call_floor_ns);
}

}  // namespace

std::string EncodeState(const config::State& state) {
  const ToWireCopy copy;
  wire::State w;
  CopyStateFields(copy, state, w);
  CopyStateMaps(copy, state, w);
  CopyMap(copy, state.version_histories, w.lines, VersionHistoryToWire);
  SheetToWire(copy, state.sheet, w.sheet);
  w.retired_keys.assign(state.evicted_key_hashes.begin(), state.evicted_key_hashes.end());
  return EncodeCompact(w);
}

config::State DecodeState(std::string_view bytes) {
  const FromWireCopy copy;
  const auto w = DecodeCompact<wire::State>(bytes);
  config::State state;
  CopyStateFields(copy, state, w);
  CopyStateMaps(copy, w, state);
  CopyMap(copy, w.lines, state.version_histories, VersionHistoryFromWire);
  SheetFromWire(copy, state.sheet, w.sheet);
  state.evicted_key_hashes.assign(w.retired_keys.begin(), w.retired_keys.end());
  return state;
}

}  // namespace wagtailslip::codec
