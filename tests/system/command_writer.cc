#include "command_writer.h"

#include <cppunit/TestAssert.h>

namespace wagtailslip::system_test {
namespace {

constexpr int kAccountsPerWriter = 3;
constexpr Duration kResendPause = 50ms;

}  // namespace

CommandWriter::CommandWriter(const Cluster& cluster, int writers, std::uint64_t seed)
    : cluster_(cluster), writers_(writers), seed_(seed) {}

CommandWriter::~CommandWriter() { Finish(); }

void CommandWriter::Start() {
  for (int i = 0; i < writers_; ++i) threads_.emplace_back([this, i] { Write(i); });
}

void CommandWriter::Finish() {
  finish_ = true;
  for (auto& it : threads_) it.join();
  threads_.clear();
}

Reply CommandWriter::SendCommand(const Cluster& cluster, const std::string& entry,
                                 const std::string& body, Duration timeout) {
  return Send(cluster.Address(entry), verb::put, "/v1/rules", body, {}, timeout);
}

void CommandWriter::Write(int writer) {
  std::mt19937_64 random(seed_ + static_cast<std::uint64_t>(writer));
  std::map<std::string, std::uint64_t> base;
  for (int n = 0; !finish_; ++n) {
    AcceptedCommand command;
    command.account = "acc" + std::to_string(writer) + "-" + std::to_string(n % kAccountsPerWriter);
    command.request_id = "w" + std::to_string(writer) + "-" + std::to_string(n);
    command.weight = 1 + n % 900;
    Json body;
    body["request_id"] = command.request_id;
    body["base_revision"] = base[command.account];
    body["account"] = command.account;
    body["weight"] = command.weight;
    command.body = body.dump();
    // A command is resent until it is accepted, also after Finish, so that its outcome is known.
    for (int tries = 0;; ++tries) {
      const auto& entry = cluster_.entries()[random() % cluster_.entries().size()];
      const auto reply = SendCommand(cluster_, entry, command.body);
      if (reply.status == 200) {
        command.revision = reply.Body()["revision"];
        break;
      }
      if ((reply.status != 0 && reply.status != 503 && reply.status != 504) || tries > 1000) {
        std::lock_guard lock(mutex_);
        faults_.push_back(command.body + " at " + entry + " -> " + std::to_string(reply.status) +
                          " " + reply.response.body);
        return;
      }
      ++resends_;
      std::this_thread::sleep_for(kResendPause);
    }
    base[command.account] = command.revision;
    ++count_;
    std::lock_guard lock(mutex_);
    commands_[command.account].push_back(std::move(command));
  }
}

std::map<std::string, std::vector<AcceptedCommand>> CommandWriter::Commands() const {
  std::lock_guard lock(mutex_);
  return commands_;
}

std::vector<std::string> CommandWriter::Faults() const {
  std::lock_guard lock(mutex_);
  return faults_;
}

void CommandWriter::CheckRules(const std::string& entry) const {
  const Json view = cluster_.Get(entry, "/v1/rules");
  CPPUNIT_ASSERT_MESSAGE(entry + " shows no rules", view.is_object());
  std::map<std::string, Json> rows;
  for (const auto& row : view["rules"]) rows[row["account"]] = row;
  for (const auto& [account, commands] : Commands()) {
    const auto& last = commands.back();
    const std::string where = entry + " " + account + " " + last.request_id;
    CPPUNIT_ASSERT_MESSAGE("lost: " + where, rows.contains(account));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(where, last.weight, rows[account]["weight"].get<double>());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(where, last.revision,
                                 rows[account]["command_revision"].get<std::uint64_t>());
  }
}

void CommandWriter::CheckSameAnswers(const std::string& entry) const {
  for (const auto& [account, commands] : Commands()) {
    for (const auto& it : commands) {
      const auto reply = SendCommand(cluster_, entry, it.body, 15s);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.request_id + " " + reply.response.body, 200U, reply.status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.request_id, it.revision,
                                   reply.Body()["revision"].get<std::uint64_t>());
    }
  }
}

}  // namespace wagtailslip::system_test
