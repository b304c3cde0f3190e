#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "wagtailslip/base/digest.h"
#include "wagtailslip/disk/artifact_store.h"
#include "wagtailslip/rollout/controller.h"
#include "wagtailslip/spread/session.h"

namespace wagtailslip::process {

/// What an agent does about one model or adapter: the newest order and how far it got.
struct LineWork {
  rollout::Order order;
  rollout::ReplicaState state = rollout::ReplicaState::kIdle;
  std::shared_ptr<const spread::Manifest> manifest;
  std::shared_ptr<disk::Artifact> artifact;
  std::unique_ptr<spread::Session> session;
  /// Root that the engine served when it was last read back; zero if none.
  Digest served_root;
  std::string served_version;
  std::string error;
  /// Changes with each new target, so that results of earlier work are recognised.
  std::uint64_t generation = 0;
  /// A step runs on another thread.
  bool busy = false;
  /// Earliest time of the next attempt of the present step.
  TimePoint retry_at{};
  /// Time at which draining was first reported to the home entry process.
  TimePoint draining_since{};
  int attempts = 0;
};

}  // namespace wagtailslip::process
