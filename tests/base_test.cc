#include <cppunit/extensions/HelperMacros.h>

#include "wagtailslip/base/digest.h"
#include "wagtailslip/base/error.h"

namespace wagtailslip {
namespace {

struct DigestRow {
  const char* input;
  const char* hex;
};

// Published SHA-256 test vectors.
constexpr DigestRow kDigestRows[] = {
    {"", "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"},
    {"abc", "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"},
};

class BaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BaseTest);
  CPPUNIT_TEST(DigestsMatchPublishedVectors);
  CPPUNIT_TEST(HexRoundTripRejectsOtherShapes);
  CPPUNIT_TEST(InvariantRaises);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DigestsMatchPublishedVectors() {
    for (const auto& row : kDigestRows) {
      CPPUNIT_ASSERT_EQUAL(std::string(row.hex), Sha256(row.input).Hex());
      Sha256Stream stream;
      stream.Update(row.input);
      CPPUNIT_ASSERT_EQUAL(std::string(row.hex), stream.Finish().Hex());
    }
  }

  void HexRoundTripRejectsOtherShapes() {
    const Digest digest = Sha256("abc");
    CPPUNIT_ASSERT(Digest::FromHex(digest.Hex()) == digest);
    CPPUNIT_ASSERT(!Digest::FromHex("abc"));
    CPPUNIT_ASSERT(!Digest::FromHex(std::string(64, 'g')));
  }

  void InvariantRaises() { CPPUNIT_ASSERT_THROW(WTS_INVARIANT(1 == 2), InvariantViolation); }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BaseTest);

}  // namespace
}  // namespace wagtailslip
