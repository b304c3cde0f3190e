// Control state of an entry process without network: what its traffic threads are given, and when.
#include "entry_control.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <filesystem>

#include "gen/wagtailslip_types.h"

namespace wagtailslip::process {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(20);

/// An entry process that is the only voter.
class LoneEntry {
 public:
  LoneEntry()
      : folder_(std::filesystem::temp_directory_path() /
                ("wts-entry-control-" + std::to_string(::getpid()))) {
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    EntrySettings settings;
    settings.id = "e1";
    settings.listen = "127.0.0.1:1";
    settings.peer_listen = "127.0.0.1:2";
    settings.data_folder = folder_.string();
    settings.voters = {{"e1", settings.peer_listen}};
    settings.bootstrap = true;
    EntryOutlets outlets;
    outlets.send = [](const std::string&, const std::string&) {};
    outlets.post_flush = [this] { flush_due_ = true; };
    outlets.limits = [](const traffic::LimitMessage&) {};
    outlets.published = published_;
    control_ = std::make_unique<EntryControl>(settings, std::move(outlets), now_);
  }
  ~LoneEntry() {
    control_.reset();
    std::error_code ec;
    std::filesystem::remove_all(folder_, ec);
  }
  LoneEntry(const LoneEntry&) = delete;
  LoneEntry& operator=(const LoneEntry&) = delete;

  void Tick() {
    now_ += kTick;
    control_->Tick(now_);
    Flush();
  }
  void Flush() {
    while (flush_due_) {
      flush_due_ = false;
      control_->Flush(now_);
    }
  }
  bool WaitForLease() {
    const TimePoint until = now_ + seconds(20);
    while (now_ < until && !control_->HoldsLease(now_)) Tick();
    return control_->HoldsLease(now_);
  }
  EntryControl& control() { return *control_; }
  TimePoint now() const { return now_; }
  const RuleBook& published_rules() const { return *published_->Load()->rules; }

 private:
  std::filesystem::path folder_;
  TimePoint now_{seconds(1000)};
  bool flush_due_ = false;
  std::shared_ptr<PublishedCell> published_ = std::make_shared<PublishedCell>();
  std::unique_ptr<EntryControl> control_;
};

class EntryControlTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryControlTest);
  CPPUNIT_TEST(RulesArePublishedBeforeTheyAreSeen);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a call with a key that runs twice because a rule that operators and views show
  // is not known to the traffic threads until the next tick: one process runs the call without a
  // record, and another one runs and records it.
  void RulesArePublishedBeforeTheyAreSeen() {
    LoneEntry entry;
    CPPUNIT_ASSERT(entry.WaitForLease());
    for (const auto call_class : {config::CallClass::kAtMostOnce, config::CallClass::kLookup}) {
      const std::string id(config::kCallClasses.Name(call_class));
      config::SetRule record;
      record.command.request_id = id;
      record.rule.kind = id;
      record.rule.call_class = call_class;
      bool done = false;
      bool published_when_done = false;
      entry.control().Propose(
          record, seconds(5),
          [&](const std::optional<config::ApplyResult>& result) {
            done = result && result->ok();
            published_when_done =
                entry.published_rules().Find("account", id).call_class == call_class;
          },
          entry.now());
      for (int i = 0; i < 100; ++i) {
        entry.Flush();
        const auto& rules = entry.control().machine().state().rules;
        const auto seen = rules.find(config::RuleKey("*", id));
        if (seen != rules.end() && seen->second.rule.call_class == call_class) {
          CPPUNIT_ASSERT_MESSAGE(
              id, entry.published_rules().Find("account", id).call_class == call_class);
        }
        if (done) break;
        entry.Tick();
      }
      CPPUNIT_ASSERT_MESSAGE(id, done);
      CPPUNIT_ASSERT_MESSAGE(id, published_when_done);
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EntryControlTest);

}  // namespace
}  // namespace wagtailslip::process
