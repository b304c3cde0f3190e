#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/time.h"

namespace wagtailslip::directory {

/// Whether callers may be sent to an entry process.
enum class ProcessState { kLive, kLeaving, kDead };
inline constexpr EnumTable<ProcessState, 3> kProcessStates{{{{ProcessState::kLive, "live"},
                                                             {ProcessState::kLeaving, "leaving"},
                                                             {ProcessState::kDead, "dead"}}}};

/// Place of a process or a caller.
struct Location {
  std::string region;
  std::string failure_domain;
};

/// An entry process as callers see it.
struct EntryProcess {
  std::string id;
  std::uint64_t incarnation = 0;
  /// Address "ip:port".
  std::string address;
  Location location;
  ProcessState state = ProcessState::kLive;
};

/// Answer to a caller that asks which addresses to use.
struct AddressAnswer {
  /// Best address first.
  std::vector<std::string> addresses;
  /// Time for which the caller may use the answer; 0 means for this call only.
  Duration max_age{};
};

/// Longest time for which a caller may cache an answer.
inline constexpr Duration kAnswerMaxAge = std::chrono::seconds(5);
/// Time after which a peer that has not confirmed a withdrawal has lost its lease, and from then
/// on hands out only answers that may not be cached.
inline constexpr Duration kPeerLease = std::chrono::seconds(2);
/// Allowance for a caller's request that is on its way when its cached answer ends.
inline constexpr Duration kExitMargin = std::chrono::milliseconds(500);

/// Answers callers with the entry processes to use. Used by one strand.
class AddressBook {
 public:
  /// Most addresses in an answer.
  static constexpr std::size_t kAnswerSize = 8;

  struct Counters {
    std::uint64_t answers = 0;
    std::uint64_t uncached_answers = 0;
    std::uint64_t withdrawals = 0;
    std::uint64_t stale_updates = 0;
  };

  /// @param self id of the process that answers
  explicit AddressBook(std::string self) : self_(std::move(self)) {}

  /// Adds or changes a process. An older incarnation never replaces a newer one, and a process
  /// that leaves stays withdrawn until it starts with a new incarnation. A process that was only
  /// believed dead may return as live.
  /// @return false if the update is stale
  bool Update(EntryProcess process);
  /// A process died or is believed dead.
  void MarkDead(const std::string& id, std::uint64_t incarnation);

  /// Answers a caller.
  /// @param caller place of the caller; empty fields where it is unknown
  /// @param has_lease whether this process's configuration is current; without it the answer may
  ///   not be cached, since this process may have missed a withdrawal
  AddressAnswer Answer(const Location& caller, bool has_lease, TimePoint now);

  /// Time left until the answers already handed out that name a process have expired. This is
  /// what a process sends back when it applies a withdrawal.
  Duration AnswersExpireIn(const std::string& id, TimePoint now) const;

  const std::map<std::string, EntryProcess>& processes() const { return processes_; }
  const Counters& counters() const { return counters_; }

 private:
  std::string self_;
  std::map<std::string, EntryProcess> processes_;
  /// Newest incarnation of each process that has left or is leaving.
  std::map<std::string, std::uint64_t> withdrawn_;
  /// Latest time at which a cacheable answer named a process.
  std::map<std::string, TimePoint> handed_out_;
  /// Rotates the first address among equally near processes.
  std::uint64_t turn_ = 0;
  Counters counters_;
};

/// Decides when a leaving process may exit: after its withdrawal has been confirmed by each live
/// peer, or the peer's lease has ended, and the answers handed out before have expired.
class ExitPlan {
 public:
  /// @param peers processes that may hand out addresses, with this one
  /// @param now time at which the withdrawal was committed
  ExitPlan(std::vector<std::string> peers, TimePoint now);

  /// A peer has applied the withdrawal.
  /// @param expire_in the peer's AnswersExpireIn for this process
  void OnConfirmed(const std::string& peer, Duration expire_in, TimePoint now);

  /// Earliest time of exit as far as is known now; streams in progress may keep it longer.
  TimePoint MayExitAt() const;
  std::size_t unconfirmed() const;

 private:
  struct Peer {
    bool confirmed = false;
    TimePoint expired_at{};
  };
  std::map<std::string, Peer> peers_;
  TimePoint started_;
};

}  // namespace wagtailslip::directory
