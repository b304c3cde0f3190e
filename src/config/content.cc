// Keys of the maps in State, and content digests of commands.
#include <bit>
#include <charconv>

#include "wagtailslip/config/state.h"

namespace wagtailslip::config {
namespace {

/// Serialises fields for a digest. Strings are preceded by their length, so that different lists of
/// fields do not yield the same bytes.
class DigestWriter {
 public:
  DigestWriter& Add(const std::string& text) {
    Add(static_cast<std::uint64_t>(text.size()));
    bytes_ += text;
    return *this;
  }
  DigestWriter& Add(std::uint64_t value) {
    for (int i = 0; i < 8; ++i) bytes_ += static_cast<char>(value >> (8 * i) & 0xff);
    return *this;
  }
  DigestWriter& Add(double value) { return Add(std::bit_cast<std::uint64_t>(value)); }
  DigestWriter& Add(const Digest& digest) {
    bytes_.append(digest.bytes.begin(), digest.bytes.end());
    return *this;
  }
  DigestWriter& Add(const CommandId& id) { return Add(id.base_revision).Add(id.operator_name); }
  DigestWriter& AddFields(const CreateRollout& c) {
    return Add(std::uint64_t{1})
        .Add(c.model)
        .Add(c.version)
        .Add(static_cast<std::uint64_t>(c.kind))
        .Add(c.adapter)
        .Add(c.base_version)
        .Add(c.origin)
        .Add(c.root)
        .Add(static_cast<std::uint64_t>(c.policy))
        .Add(std::uint64_t{c.minimum_serving})
        .Add(std::uint64_t{c.batch_size})
        .Add(std::uint64_t{c.failure_limit});
  }
  DigestWriter& AddFields(const SetRule& c) {
    return Add(std::uint64_t{2})
        .Add(c.rule.account)
        .Add(c.rule.kind)
        .Add(static_cast<std::uint64_t>(c.rule.call_class))
        .Add(std::uint64_t{c.rule.priority})
        .Add(c.rule.weight)
        .Add(c.rule.rate_limit)
        .Add(static_cast<std::uint64_t>(c.rule.deadline.count()));
  }
  Digest Finish() const { return Sha256(bytes_); }

 private:
  std::string bytes_;
};

std::optional<std::uint64_t> ParseNumber(const std::string& text, int base) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [at, ec] = std::from_chars(text.data(), end, value, base);
  if (ec != std::errc() || at != end) return std::nullopt;
  return value;
}

std::optional<UtcTime> TimeFromMilliseconds(std::uint64_t value) {
  constexpr std::uint64_t kYear2020 = 1'577'836'800'000;
  constexpr std::uint64_t kYear2100 = 4'102'444'800'000;
  if (value < kYear2020 || value >= kYear2100) return std::nullopt;
  return UtcTime(std::chrono::milliseconds(static_cast<std::int64_t>(value)));
}

}  // namespace

std::string ArtifactKey(const std::string& model, const std::string& adapter) {
  return adapter.empty() ? model : model + "/" + adapter;
}

std::string RuleKey(const std::string& account, const std::string& kind) {
  return account + '\n' + kind;
}

std::string CallKey(const std::string& account, const std::string& key) {
  return std::to_string(account.size()) + ":" + account + key;
}

std::optional<UtcTime> KeyIssueTime(const std::string& key) {
  constexpr std::size_t kUuidLength = 36;
  constexpr std::size_t kMillisecondDigits = 13;
  if (key.size() == kUuidLength && key[8] == '-' && key[13] == '-' && key[14] == '7') {
    const auto value = ParseNumber(key.substr(0, 8) + key.substr(9, 4), 16);
    if (value) return TimeFromMilliseconds(*value);
  }
  if (key.size() > kMillisecondDigits && key[kMillisecondDigits] == '-') {
    const auto value = ParseNumber(key.substr(0, kMillisecondDigits), 10);
    if (value) return TimeFromMilliseconds(*value);
  }
  return std::nullopt;
}

Digest ContentDigest(const CreateRollout& command) {
  return DigestWriter().Add(command.command).AddFields(command).Finish();
}

Digest ContentDigest(const SetRule& command) {
  return DigestWriter().Add(command.command).AddFields(command).Finish();
}

Digest ContentDigest(const ControlRollout& command) {
  return DigestWriter()
      .Add(std::uint64_t{3})
      .Add(command.command)
      .Add(command.rollout_id)
      .Add(static_cast<std::uint64_t>(command.action))
      .Finish();
}

Digest ContentDigest(const SubmitSheet& command) {
  DigestWriter writer;
  writer.Add(std::uint64_t{4}).Add(command.command).Add(command.content);
  for (const auto& change : command.changes) writer.Add(ContentDigest(change));
  return writer.Finish();
}

Digest ContentDigest(const DrainEndpoint& command) {
  return DigestWriter()
      .Add(std::uint64_t{5})
      .Add(command.command)
      .Add(command.endpoint_id)
      .Add(std::uint64_t{command.drain})
      .Finish();
}

Digest ContentDigest(const ScheduledChange& change) {
  DigestWriter writer;
  writer.Add(static_cast<std::uint64_t>(change.effective_at.time_since_epoch().count()));
  std::visit([&](const auto& c) { writer.AddFields(c); }, change.change);
  return writer.Finish();
}

}  // namespace wagtailslip::config
