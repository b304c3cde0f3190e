#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "entry_control.h"

namespace wagtailslip::process {

using Json = nlohmann::ordered_json;

/// JSON views of the control state for the administration API. Called on the control thread.

/// All rollouts, newest first.
Json ViewRollouts(const EntryControl& control);
/// One rollout with its replicas; null if there is none.
Json ViewRollout(const EntryControl& control, const std::string& id, TimePoint now);
/// Revision of a model or adapter, for base_revision.
Json ViewLine(const EntryControl& control, const std::string& model, const std::string& adapter);
Json ViewRules(const EntryControl& control);
Json ViewRule(const EntryControl& control, const std::string& account, const std::string& kind);
Json ViewSheet(const EntryControl& control);
/// One endpoint; null if there is none.
Json ViewEndpoint(const EntryControl& control, const std::string& id, TimePoint now);
Json ViewStatus(const EntryControl& control, TimePoint now);
/// State dump of the control thread.
Json ViewDump(const EntryControl& control, TimePoint now);

}  // namespace wagtailslip::process
