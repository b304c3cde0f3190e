#include "application.h"

#include "wagtailslip/base/digest.h"
#include "wagtailslip/disk/encoding.h"

namespace wagtailslip::simulation {

std::string EncodeRequest(const Request& request) {
  disk::Encoder encoder;
  encoder.U32(request.client);
  encoder.U64(request.sequence);
  return encoder.Take();
}

std::optional<Request> DecodeRequest(std::string_view data) {
  disk::Decoder decoder(data);
  Request request;
  request.client = decoder.U32();
  request.sequence = decoder.U64();
  if (!decoder.ok()) return std::nullopt;
  return request;
}

std::optional<std::pair<Request, std::uint64_t>> Application::Apply(const agreement::Entry& entry) {
  WTS_INVARIANT(entry.index == applied_ + 1);
  applied_ = entry.index;
  hash_ = Hash64(entry.data, hash_ ^ entry.term ^ static_cast<std::uint64_t>(entry.kind) << 56);
  if (entry.kind != agreement::EntryKind::kCommand) return std::nullopt;
  const auto request = DecodeRequest(entry.data);
  if (!request) return std::nullopt;
  Session& session = sessions_[request->client];
  if (request->sequence < session.sequence) return std::nullopt;
  if (request->sequence > session.sequence) session = {request->sequence, ++ordinal_};
  return std::pair(*request, session.result);
}

std::string Application::Snapshot() const {
  disk::Encoder encoder;
  encoder.U64(hash_);
  encoder.U64(ordinal_);
  encoder.U32(static_cast<std::uint32_t>(sessions_.size()));
  for (const auto& [client, session] : sessions_) {
    encoder.U32(client);
    encoder.U64(session.sequence);
    encoder.U64(session.result);
  }
  return encoder.Take();
}

void Application::Restore(agreement::Index index, std::string_view data) {
  disk::Decoder decoder(data);
  applied_ = index;
  hash_ = decoder.U64();
  ordinal_ = decoder.U64();
  sessions_.clear();
  for (std::uint32_t n = decoder.U32(); n > 0 && decoder.ok(); --n) {
    const std::uint32_t client = decoder.U32();
    const std::uint64_t sequence = decoder.U64();
    sessions_[client] = {sequence, decoder.U64()};
  }
  WTS_INVARIANT(decoder.ok());
}

}  // namespace wagtailslip::simulation
