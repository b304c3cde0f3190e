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

/// State of an entry process; only live ones are offered to callers.
enum class ProcessState { kLive, kLeaving, kDead };
inline constexpr EnumTable<ProcessState, 3> kProcessStates{{{{ProcessState::kLive, "live"},
                                                             {ProcessState::kLeaving, "leaving"},
                                                             {ProcessState::kDead, "dead"}}}};

/// Network location of a process or a caller.
struct Location {
  std::string region;
  std::string failure_domain;
};

/// An entry process that can be offered to callers.
struct EntryProcess {
  std::string id;
  std::uint64_t incarnation = 0;
  /// Address "ip:port".
  std::string address;
  Location location;
  ProcessState state = ProcessState::kLive;
};

/// Addresses that a caller should use.
struct AddressAnswer {
  /// Ordered by preference, nearest first.
  std::vector<std::string> addresses;
  /// How long the caller may cache the answer; 0 allows it for the current call only.
  Duration max_age{};
};

/// Maximum time for which a caller may cache an answer.
inline constexpr Duration kAnswerMaxAge = std::chrono::seconds(5);
/// Time after which a peer that has not confirmed a withdrawal has lost its lease. From then on,
/// its answers are not cacheable.
inline constexpr Duration kPeerLease = std::chrono::seconds(2);
/// Extra time for requests that are in transit when the caller's cached answer expires.
inline constexpr Duration kExitMargin = std::chrono::milliseconds(500);

/// Tells callers which entry processes to use. Not thread-safe; used from a single strand.
class AddressBook {
 public:
  /// Maximum number of addresses in an answer.
  static constexpr std::size_t kAnswerSize = 8;

  struct Counters {
    std::uint64_t answers = 0;
    std::uint64_t uncached_answers = 0;
    std::uint64_t withdrawals = 0;
    std::uint64_t stale_updates = 0;
  };

  /// @param self id of this process
  explicit AddressBook(std::string self) : self_(std::move(self)) {}

  /// Adds or updates a process. An older incarnation never replaces a newer one, and a leaving
  /// process stays withdrawn until it restarts with a new incarnation. A process that was only
  /// presumed dead may become live again.
  /// @return false if the update is stale
  bool Update(EntryProcess process);
  /// Marks a process that died or is presumed dead.
  void MarkDead(const std::string& id, std::uint64_t incarnation);

  /// Returns live processes for a caller, nearest first.
  /// @param caller location of the caller; unknown fields are empty
  /// @param has_lease whether this process holds a lease, so that its configuration is current.
  ///   Without a lease the answer is not cacheable, since this process may have missed a withdrawal
  AddressAnswer Answer(const Location& caller, bool has_lease, TimePoint now);

  /// Time until all cached answers that contain a process have expired. A peer returns this value
  /// when it confirms a withdrawal.
  Duration AnswersExpireIn(const std::string& id, TimePoint now) const;

  const std::map<std::string, EntryProcess>& processes() const { return processes_; }
  const Counters& counters() const { return counters_; }

 private:
  std::string self_;
  std::map<std::string, EntryProcess> processes_;
  /// Newest incarnation of each process that has left or is leaving.
  std::map<std::string, std::uint64_t> withdrawn_;
  /// Time of the latest cacheable answer that contained each process.
  std::map<std::string, TimePoint> last_cacheable_answer_;
  /// Rotates the order of equally near processes, to distribute callers among them.
  std::uint64_t rotation_ = 0;
  Counters counters_;
};

/// Computes when a leaving process may exit: once every peer has confirmed the withdrawal or lost
/// its lease, and all answers given before that have expired.
class ExitPlan {
 public:
  /// @param peers processes that may answer callers, including this one
  /// @param now time at which the withdrawal was committed
  ExitPlan(std::vector<std::string> peers, TimePoint now);

  /// Records that a peer has applied the withdrawal.
  /// @param expire_in result of the peer's AnswersExpireIn for this process
  void OnConfirmed(const std::string& peer, Duration expire_in, TimePoint now);

  /// Earliest exit time known so far. Streams in progress may delay the exit further.
  TimePoint MayExitAt() const;
  std::size_t unconfirmed() const;

 private:
  struct Peer {
    bool confirmed = false;
    TimePoint answers_expire_at{};
  };
  std::map<std::string, Peer> peers_;
  TimePoint committed_at_;
};

}  // namespace wagtailslip::directory
