#include "wagtailslip/process/access.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

namespace wagtailslip::process {
namespace {

/// A file with a given text, removed at the end of its scope.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text)
      : path_(std::filesystem::temp_directory_path() /
              ("wagtailslip-access-" + std::to_string(getpid()) + ".json")) {
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { std::filesystem::remove(path_); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  std::string path() const { return path_.string(); }

 private:
  std::filesystem::path path_;
};

std::string ValidText() {
  return R"({"accounts":[{"name":"small","key_sha256":")" + Sha256("key").Hex() +
         R"("}],"operators":[{"name":"ann","role":"operator","token_sha256":")" +
         Sha256("ann-token").Hex() +
         R"(","scopes":["dispatch"]},{"name":"bob","role":"viewer","token_sha256":")" +
         Sha256("bob-token").Hex() + R"("}]})";
}

struct BadFileRow {
  const char* text;
  const char* part_of_message;
};

constexpr BadFileRow kBadFileRows[] = {
    {"{", "parse error"},
    {R"({"accounts":[]})", "operators"},
    {R"({"accounts":[{"name":"a","key_sha256":"12"}],"operators":[]})", "key_sha256"},
    {R"({"accounts":[],"operators":[{"name":"a","role":"king","token_sha256":""}]})", "role"},
};

class AccessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AccessTest);
  CPPUNIT_TEST(OnlyKnownTokensAreAccepted);
  CPPUNIT_TEST(ScopesAndRolesLimitChanges);
  CPPUNIT_TEST(BadFilesNameTheMember);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a caller or operator that is let in without a valid token.
  void OnlyKnownTokensAreAccepted() {
    const TemporaryFile file(ValidText());
    const Access access = Access::FromFile(file.path());
    CPPUNIT_ASSERT(access.FindAccount("Bearer key") == "small");
    for (const char* wrong : {"", "key", "Bearer ", "Bearer KEY", "Bearer ann-token"}) {
      CPPUNIT_ASSERT(!access.FindAccount(wrong));
    }
    for (const char* wrong : {"", "Bearer ", "Bearer key", "ann-token"}) {
      CPPUNIT_ASSERT(!access.FindOperator(wrong));
    }
  }

  // Guards against an operator that changes objects of another team.
  void ScopesAndRolesLimitChanges() {
    const TemporaryFile file(ValidText());
    const Access access = Access::FromFile(file.path());
    const auto ann = access.FindOperator("Bearer ann-token");
    const auto bob = access.FindOperator("Bearer bob-token");
    CPPUNIT_ASSERT(ann && bob);
    CPPUNIT_ASSERT(ann->MayChange("dispatch"));
    CPPUNIT_ASSERT(!ann->MayChange("bookings"));
    CPPUNIT_ASSERT(!bob->MayChange("dispatch"));
  }

  void BadFilesNameTheMember() {
    for (const auto& row : kBadFileRows) {
      const TemporaryFile file(row.text);
      try {
        Access::FromFile(file.path());
        CPPUNIT_FAIL(row.text);
      } catch (const AccessError& e) {
        CPPUNIT_ASSERT_MESSAGE(
            e.what(), std::string(e.what()).find(row.part_of_message) != std::string::npos);
      }
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(AccessTest);

}  // namespace
}  // namespace wagtailslip::process
