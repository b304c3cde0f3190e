#include "engine/model_table.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <vector>

#include "common/manifest.h"

namespace wagtailslip::tools {
namespace {

constexpr unsigned kUnprocessable = 422;
constexpr unsigned kConflict = 409;
/// Piece that is read between two turns of the event loop.
constexpr std::uint64_t kReadBytes = 1024ULL * 1024;
constexpr std::uint64_t kMaxChunkBytes = 1024ULL * 1024 * 1024;

Refusal Wrong(std::string message) {
  return Refusal{kUnprocessable, "wrong_weights", std::move(message)};
}

std::optional<Manifest> ReadManifest(const std::string& path, Refusal& refusal) {
  std::ifstream file(path + ".manifest", std::ios::binary);
  if (!file) return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  try {
    return ParseManifest(text.str());
  } catch (const ToolError& e) {
    refusal = Wrong(e.what());
    return std::nullopt;
  }
}

/// Digest of the next `size` bytes, or nothing if the file ends before.
net::Task<std::optional<Digest>> ReadChunk(std::ifstream& file, std::uint64_t size) {
  Sha256Stream stream;
  std::string piece;
  for (std::uint64_t done = 0; done < size;) {
    piece.resize(std::min(kReadBytes, size - done));
    file.read(piece.data(), static_cast<std::streamsize>(piece.size()));
    if (static_cast<std::uint64_t>(file.gcount()) != piece.size()) co_return std::nullopt;
    stream.Update(piece);
    done += piece.size();
    // Running streams get their turn between two pieces.
    co_await net::asio::post(co_await net::asio::this_coro::executor, net::asio::use_awaitable);
  }
  co_return stream.Finish();
}

net::Task<Refusal> CheckChunks(std::ifstream& file, const Manifest& manifest) {
  for (std::size_t i = 0; i < manifest.chunks.size(); ++i) {
    const auto& chunk = manifest.chunks[i];
    if (chunk.size > kMaxChunkBytes) co_return Wrong("chunk " + std::to_string(i) + " is too big");
    const auto digest = co_await ReadChunk(file, chunk.size);
    if (!digest) co_return Wrong("the file ends in chunk " + std::to_string(i));
    if (*digest != chunk.digest) {
      co_return Wrong("chunk " + std::to_string(i) + " doesn't match its digest");
    }
  }
  if (file.peek() != std::ifstream::traits_type::eof()) {
    co_return Wrong("the file goes on after its last chunk");
  }
  co_return Refusal{};
}

}  // namespace

net::Task<Refusal> CheckFile(LoadedVersion& version) {
  std::ifstream file(version.path, std::ios::binary | std::ios::ate);
  if (!file) co_return Wrong("cannot read " + version.path);
  const auto bytes = static_cast<std::uint64_t>(file.tellg());
  file.seekg(0);
  Refusal refusal;
  const auto manifest = ReadManifest(version.path, refusal);
  if (refusal) co_return refusal;
  if (!manifest) {
    if (!version.root.empty()) co_return Wrong("cannot read " + version.path + ".manifest");
    const auto digest = co_await ReadChunk(file, bytes);
    if (!digest) co_return Wrong("cannot read " + version.path);
    version.root = digest->Hex();
    co_return Refusal{};
  }
  if (manifest->model != version.model || manifest->version != version.version) {
    co_return Wrong("the manifest is of " + manifest->model + "/" + manifest->version);
  }
  if (!version.root.empty() && manifest->root.Hex() != version.root) {
    co_return Wrong("the manifest has root " + manifest->root.Hex());
  }
  version.root = manifest->root.Hex();
  version.base = manifest->base;
  co_return co_await CheckChunks(file, *manifest);
}

Refusal ModelTable::CheckFencing(const std::string& scope, std::uint64_t fencing) {
  std::uint64_t& highest = fencing_[scope];
  if (!ignore_fencing_ && fencing < highest) {
    return Refusal{
        kConflict, "stale_fencing",
        "fencing number " + std::to_string(fencing) + " is older than " + std::to_string(highest)};
  }
  highest = std::max(highest, fencing);
  return {};
}

LoadedPtr ModelTable::Find(const std::string& model) const {
  const auto slash = model.find('/');
  const auto it = versions_.find(slash == std::string::npos ? model : model.substr(slash + 1));
  if (it == versions_.end()) return nullptr;
  const std::string& base = it->second->base;
  const bool base_matches =
      slash == std::string::npos || base.substr(0, base.find('/')) == model.substr(0, slash);
  return base_matches ? it->second : nullptr;
}

Refusal ModelTable::CheckBase(const LoadedVersion& version) const {
  if (version.base.empty()) return {};
  const auto base = Find(version.base.substr(0, version.base.find('/')));
  if (base != nullptr &&
      (version.base == base->model || version.base == base->model + "/" + base->version)) {
    return {};
  }
  return Refusal{kUnprocessable, "base_missing", "base " + version.base + " is not loaded"};
}

void ModelTable::Put(LoadedVersion version) {
  const std::string model = version.model;
  versions_[model] = std::make_shared<const LoadedVersion>(std::move(version));
  RemoveOrphans();
}

bool ModelTable::Remove(const std::string& model) {
  const bool removed = versions_.erase(model) > 0;
  RemoveOrphans();
  return removed;
}

void ModelTable::RemoveOrphans() {
  std::erase_if(versions_,
                [this](const auto& row) { return static_cast<bool>(CheckBase(*row.second)); });
}

}  // namespace wagtailslip::tools
