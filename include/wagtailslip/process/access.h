#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "wagtailslip/base/digest.h"
#include "wagtailslip/base/enum_table.h"
#include "wagtailslip/base/error.h"

namespace wagtailslip::process {

/// The access file is not valid.
class AccessError : public Error {
 public:
  using Error::Error;
};

/// What an operator may do. Each role includes those before it.
enum class OperatorRole { kViewer, kOperator, kAdmin };
inline constexpr EnumTable<OperatorRole, 3> kOperatorRoles{{{{OperatorRole::kViewer, "viewer"},
                                                             {OperatorRole::kOperator, "operator"},
                                                             {OperatorRole::kAdmin, "admin"}}}};

struct Operator {
  std::string name;
  OperatorRole role = OperatorRole::kViewer;
  /// Models and accounts that the operator may change; "*" for all.
  std::set<std::string> scopes;

  bool MayChange(const std::string& object) const {
    return role != OperatorRole::kViewer && (scopes.contains("*") || scopes.contains(object));
  }
};

/// Client accounts and operators by token. Tokens are kept as SHA-256 digests.
class Access {
 public:
  /// Lets every caller in: the account is the API key itself and every operator is an admin. For a
  /// trial on one machine.
  static Access Open();
  /// Reads `{"accounts":[{"name","key_sha256"}],"operators":[{"name","role","token_sha256",
  /// "scopes":[..]}]}`.
  /// @throws AccessError naming the file and the member at fault
  static Access FromFile(const std::string& path);

  /// @param authorization value of the Authorization header
  /// @return account name, or nothing if the key is missing or unknown
  std::optional<std::string> FindAccount(std::string_view authorization) const;
  std::optional<Operator> FindOperator(std::string_view authorization) const;

 private:
  bool open_ = false;
  std::map<Digest, std::string> accounts_;
  std::map<Digest, Operator> operators_;
};

}  // namespace wagtailslip::process
