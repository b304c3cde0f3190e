#include "wagtailslip/process/access.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace wagtailslip::process {
namespace {

using nlohmann::json;

std::string_view BearerToken(std::string_view authorization) {
  constexpr std::string_view kPrefix = "Bearer ";
  if (!authorization.starts_with(kPrefix)) return {};
  return authorization.substr(kPrefix.size());
}

Digest ReadDigest(const json& row, const char* member, const std::string& path) {
  const auto digest = Digest::FromHex(row.at(member).get<std::string>());
  if (!digest) throw AccessError(path + ": " + member + " is not a SHA-256 in hexadecimal");
  return *digest;
}

}  // namespace

Access Access::Open() {
  Access access;
  access.open_ = true;
  return access;
}

Access Access::FromFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw AccessError("cannot read " + path);
  Access access;
  try {
    const json body = json::parse(file);
    for (const auto& row : body.at("accounts")) {
      access.accounts_[ReadDigest(row, "key_sha256", path)] = row.at("name").get<std::string>();
    }
    for (const auto& row : body.at("operators")) {
      Operator entry;
      entry.name = row.at("name").get<std::string>();
      const auto role = kOperatorRoles.Find(row.at("role").get<std::string>());
      if (!role) throw AccessError(path + ": role is not viewer, operator or admin");
      entry.role = *role;
      entry.scopes = row.value("scopes", std::set<std::string>{"*"});
      access.operators_[ReadDigest(row, "token_sha256", path)] = std::move(entry);
    }
  } catch (const json::exception& e) {
    throw AccessError(path + ": " + e.what());
  }
  return access;
}

std::optional<std::string> Access::FindAccount(std::string_view authorization) const {
  const auto token = BearerToken(authorization);
  if (open_) return token.empty() ? "anonymous" : std::string(token);
  if (token.empty()) return std::nullopt;
  const auto it = accounts_.find(Sha256(token));
  return it == accounts_.end() ? std::nullopt : std::optional(it->second);
}

std::optional<Operator> Access::FindOperator(std::string_view authorization) const {
  const auto token = BearerToken(authorization);
  if (open_) return Operator{"local", OperatorRole::kAdmin, {"*"}};
  if (token.empty()) return std::nullopt;
  const auto it = operators_.find(Sha256(token));
  return it == operators_.end() ? std::nullopt : std::optional(it->second);
}

}  // namespace wagtailslip::process
