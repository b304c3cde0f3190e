#include <cstdio>
#include <ctime>
#include <functional>
#include <memory>

#include "benchmark.h"
#include "wagtailslip/agreement/replica.h"

namespace wagtailslip::benchmark {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(20);
constexpr Duration kSpan = std::chrono::seconds(60);
constexpr std::size_t kChangeBytes = 300;

/// Upper bound of a message's size on the wire: full-width numbers, both identities, frame.
std::size_t WireBytes(const agreement::Message& m) {
  std::size_t bytes = 4 + 8 + m.from.process.size() + m.to.process.size() + 4 * 8;
  if (const auto* append = std::get_if<agreement::AppendRequest>(&m.body)) {
    bytes += 4 * 8;
    if (append->entries) {
      for (const agreement::Entry& entry : *append->entries) bytes += 20 + entry.data.size();
    }
  } else {
    bytes += 6 * 8;
  }
  return bytes;
}

double ProcessorSeconds() {
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// One leader whose voters and learners answer every request at once.
class Fleet {
 public:
  explicit Fleet(std::size_t learners) {
    agreement::ReplicaConfig config;
    config.id = {"entry-01", 1};
    auto state = agreement::BootstrapState({{"entry-01", 1}, {"entry-02", 1}, {"entry-03", 1}});
    for (std::size_t i = 0; i < learners; ++i) {
      const agreement::ReplicaId id{"entry-" + std::to_string(100 + i), 1};
      state.entries.push_back({state.entries.size() + 1, 1, agreement::EntryKind::kMembership,
                               agreement::EncodeChange({agreement::ChangeKind::kAddLearner, id})});
    }
    leader_ = std::make_unique<agreement::Replica>(config, std::move(state), 1, now_);
  }

  void Run(Duration span, double changes_per_second) {
    const Duration pause = changes_per_second > 0
                               ? std::chrono::duration_cast<Duration>(
                                     std::chrono::duration<double>(1 / changes_per_second))
                               : span * 2;
    TimePoint next_change = now_ + pause;
    for (const TimePoint end = now_ + span; now_ < end; now_ += kTick) {
      Call([&] { return leader_->Tick(now_); });
      while (now_ >= next_change) {
        Call([&] { return leader_->Propose(std::string(kChangeBytes, 'c'), now_).effects; });
        next_change += pause;
      }
    }
  }

  void Reset() { processor_seconds_ = 0, bytes_ = 0, messages_ = 0; }
  double processor_seconds() const { return processor_seconds_; }
  double bytes() const { return static_cast<double>(bytes_); }
  double messages() const { return static_cast<double>(messages_); }
  bool leads() const { return leader_->HasLease(now_); }

 private:
  void Call(const std::function<agreement::Effects()>& call) {
    const double start = ProcessorSeconds();
    agreement::Effects effects = call();
    processor_seconds_ += ProcessorSeconds() - start;
    std::vector<agreement::Message> replies;
    for (const agreement::Message& m : effects.messages) {
      bytes_ += WireBytes(m);
      ++messages_;
      Answer(m, replies);
    }
    if (effects.write > 0) Call([&] { return leader_->Persisted(effects.write, now_); });
    for (const agreement::Message& reply : replies) {
      Call([&] { return leader_->Step(reply, now_); });
    }
  }

  void Answer(const agreement::Message& m, std::vector<agreement::Message>& replies) {
    agreement::Message reply{m.to, m.from, m.term, {}};
    if (const auto* vote = std::get_if<agreement::VoteRequest>(&m.body)) {
      reply.body = agreement::VoteReply{vote->pre_vote, true};
    } else if (const auto* append = std::get_if<agreement::AppendRequest>(&m.body)) {
      agreement::AppendReply answer;
      answer.success = true;
      answer.match = append->entries ? append->entries->back().index : append->prev_index;
      answer.prev_index = answer.match;
      answer.sent_at = append->sent_at;
      reply.body = answer;
    }
    replies.push_back(std::move(reply));
  }

  TimePoint now_{};
  std::unique_ptr<agreement::Replica> leader_;
  double processor_seconds_ = 0;
  std::uint64_t bytes_ = 0;
  std::uint64_t messages_ = 0;
};

}  // namespace

void RunLearners(double changes_per_second) {
  constexpr std::size_t kCounts[] = {10, 40, 160, 360};
  std::printf("%9s %16s %14s %14s  (leader, %.1f changes of %zu bytes a second)\n", "learners",
              "processor ms/s", "KiB/s", "messages/s", changes_per_second, kChangeBytes);
  double first[2] = {};
  double last[2] = {};
  for (const std::size_t count : kCounts) {
    Fleet fleet(count);
    fleet.Run(std::chrono::seconds(5), 0);
    if (!fleet.leads()) std::printf("no leader with %zu learners\n", count);
    fleet.Reset();
    fleet.Run(kSpan, changes_per_second);
    const double seconds = ToSeconds(kSpan);
    last[0] = 1000 * fleet.processor_seconds() / seconds;
    last[1] = fleet.bytes() / 1024 / seconds;
    if (count == kCounts[0]) std::copy(last, last + 2, first);
    std::printf("%9zu %16.3f %14.1f %14.0f\n", count, last[0], last[1], fleet.messages() / seconds);
  }
  const double span = static_cast<double>(kCounts[3] - kCounts[0]);
  std::printf("slope for each learner: %.2f us/s of processor, %.1f bytes/s\n",
              1000 * (last[0] - first[0]) / span, 1024 * (last[1] - first[1]) / span);
}

}  // namespace wagtailslip::benchmark
