#include "wagtailslip/sheet/sheet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "config_fixture.h"

namespace wagtailslip::sheet {
namespace {

using config::Utc;

// 2026-12-04T06:00:00 in Bogota and in Brisbane.
constexpr std::int64_t kBogotaSix = 1796382000;
constexpr std::int64_t kBrisbaneSix = 1796328000;

Options MakeOptions(const char* zone = "America/Bogota", DateForm form = DateForm::kYearMonthDay) {
  Options options;
  CPPUNIT_ASSERT(cctz::load_time_zone(zone, &options.zone));
  options.date_form = form;
  return options;
}

std::string Root() { return Sha256("root").Hex(); }

const char kRuleHeader[] = "effective_at,change,account,kind,priority,weight\n";

std::string Rules(const std::string& rows) { return kRuleHeader + rows; }

std::string List(const std::vector<Fault>& faults) {
  std::string out;
  for (const auto& fault : faults) {
    out += std::to_string(fault.row) + "/" + fault.column + ": " + fault.message + "\n";
  }
  return out;
}

config::SetRule RuleOf(const ParseResult& result, std::size_t i = 0) {
  CPPUNIT_ASSERT_MESSAGE(List(result.faults), result.ok());
  return std::get<config::SetRule>(result.sheet.rows.at(i).change.change);
}

class SheetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SheetTest);
  CPPUNIT_TEST(ExportsOfAllKindsReadTheSame);
  CPPUNIT_TEST(RolloutRowsAreRead);
  CPPUNIT_TEST(TimesAreReadInTheZone);
  CPPUNIT_TEST(FaultsNameRowAndColumn);
  CPPUNIT_TEST(AllFaultsAreListed);
  CPPUNIT_TEST(SameSheetChangesNothing);
  CPPUNIT_TEST(DifferenceShowsEachKind);
  CPPUNIT_TEST(RandomBytesNeverCrash);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ExportsOfAllKindsReadTheSame() {
    const std::string plain = Rules("2026-12-04 06:00,rule,Café,seat release,1,1.5\n");
    const std::string variants[] = {
        plain,
        "\xef\xbb\xbf" + plain,
        "EFFECTIVE AT;Change;Account;Kind;Priority;Weight\r\n"
        "2026-12-04 06:00;RULE;Café;seat release;1;1,5\r\n",
        "kind\tweight\tpriority\taccount\tchange\teffective-at\n"
        "seat release\t1,5\t1\tCafé\trule\t2026-12-04 06:00\n",
        "sep=;\r\neffective_at;change;account;kind;priority;weight\r\n\r\n;;;;;\r\n"
        "2026-12-04 06:00;rule;\"Café\";\"seat release\";\" 1 \";1,5",
        "effective_at,change,account,kind,priority,weight,\r"
        "\"2026-12-04 06:00\",rule,Café,seat release,1,\"1,5\",\r",
    };
    const Digest content = Parse(plain, MakeOptions()).sheet.content;
    for (const auto& text : variants) {
      const auto result = Parse(text, MakeOptions());
      const auto rule = RuleOf(result).rule;
      CPPUNIT_ASSERT_EQUAL(std::string("Café"), rule.account);
      CPPUNIT_ASSERT_EQUAL(std::string("seat release"), rule.kind);
      CPPUNIT_ASSERT_EQUAL(1.5, rule.weight);
      CPPUNIT_ASSERT(result.sheet.content == content);
    }
    // The row number counts blank rows and the delimiter line.
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, Parse(variants[4], MakeOptions()).sheet.rows[0].row);
    const auto quoted = Rules("2026-12-04 06:00,rule,\"A \"\"B\"\", Ltd\",\"x\ny\",,\n");
    CPPUNIT_ASSERT(!Parse(quoted, MakeOptions()).ok());
    const auto name = Rules("2026-12-04 06:00,rule,\"A \"\"B\"\", Ltd\",x,,\n");
    CPPUNIT_ASSERT_EQUAL(std::string("A \"B\", Ltd"),
                         RuleOf(Parse(name, MakeOptions())).rule.account);
  }

  void RolloutRowsAreRead() {
    const std::string header =
        "change,effective_at,model,version,adapter,base_version,origin,root,policy,"
        "minimum_serving,batch_size,failure_limit\n";
    const auto result =
        Parse(header + "rollout,2026-12-04 06:00,dispatch,v2,letters,v1,10.0.0.1:80," + Root() +
                  ",origin-bytes-first,3,2,4\n",
              MakeOptions());
    CPPUNIT_ASSERT_MESSAGE(List(result.faults), result.ok());
    const auto& rollout = std::get<config::CreateRollout>(result.sheet.rows[0].change.change);
    CPPUNIT_ASSERT(rollout.kind == config::ArtifactKind::kAdapter);
    CPPUNIT_ASSERT(rollout.policy == config::SpreadPolicy::kOriginBytesFirst);
    CPPUNIT_ASSERT(rollout.root == Sha256("root"));
    CPPUNIT_ASSERT(rollout.minimum_serving == 3 && rollout.batch_size == 2 &&
                   rollout.failure_limit == 4);
  }

  void TimesAreReadInTheZone() {
    struct Row {
      const char* zone;
      DateForm form;
      const char* text;
      /// 0 for a time that is refused.
      std::int64_t seconds;
    };
    const Row rows[] = {
        {"America/Bogota", DateForm::kYearMonthDay, "2026-12-04 06:00", kBogotaSix},
        {"America/Bogota", DateForm::kDayMonthYear, "4/12/2026 6:00:00", kBogotaSix},
        {"America/Bogota", DateForm::kDayMonthYear, "04.12.2026 06:00 a.m.", kBogotaSix},
        {"America/Bogota", DateForm::kDayMonthYear, "04-12-2026 06:00 a. m.", kBogotaSix},
        {"America/Bogota", DateForm::kMonthDayYear, "12/04/2026 06:00", kBogotaSix},
        {"America/Bogota", DateForm::kDayMonthYear, "2026-12-04T06:00", kBogotaSix},
        {"America/Bogota", DateForm::kYearMonthDay, "2026-12-04T11:00Z", kBogotaSix},
        {"Australia/Brisbane", DateForm::kYearMonthDay, "2026-12-04 06:00", kBrisbaneSix},
        {"Australia/Brisbane", DateForm::kDayMonthYear, "4/12/2026 6:00 AM", kBrisbaneSix},
        {"Australia/Brisbane", DateForm::kDayMonthYear, "3/12/2026 8:00 PM +0000", kBrisbaneSix},
        {"Australia/Sydney", DateForm::kYearMonthDay, "2026-10-04 02:30", 0},  // skipped
        {"Australia/Sydney", DateForm::kYearMonthDay, "2026-04-05 02:30", 0},  // occurs twice
        {"Australia/Sydney", DateForm::kYearMonthDay, "2026-04-05 02:30+11:00", 1775316600},
        {"America/Bogota", DateForm::kYearMonthDay, "4/12/2026 06:00", 0},
        {"America/Bogota", DateForm::kDayMonthYear, "31/4/2026 06:00", 0},
        {"America/Bogota", DateForm::kDayMonthYear, "4/12/26 06:00", 0},
        {"America/Bogota", DateForm::kDayMonthYear, "4/12/2026", 0},
        {"America/Bogota", DateForm::kDayMonthYear, "4/12/2026 24:00", 0},
        {"America/Bogota", DateForm::kDayMonthYear, "4/12/2026 13:00 PM", 0},
        {"America/Bogota", DateForm::kDayMonthYear, "4/12/2026 06:00 COT", 0},
        {"America/Bogota", DateForm::kDayMonthYear, "tomorrow", 0},
    };
    for (const auto& row : rows) {
      const auto result =
          Parse(Rules(std::string(row.text) + ",rule,a,k,1,1\n"), MakeOptions(row.zone, row.form));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.text + List(result.faults), row.seconds != 0, result.ok());
      if (result.ok()) {
        CPPUNIT_ASSERT_MESSAGE(row.text,
                               result.sheet.rows[0].change.effective_at == Utc(row.seconds));
      } else {
        CPPUNIT_ASSERT_EQUAL(std::string("effective_at"), result.faults[0].column);
      }
    }
  }

  void FaultsNameRowAndColumn() {
    struct Row {
      std::string text;
      std::size_t row;
      const char* column;
    };
    const std::string time = "2026-12-04 06:00";
    const Row rows[] = {
        {"", 0, ""},
        {kRuleHeader, 0, ""},
        {"effective_at,change,account,kind,colour\n" + time + ",rule,a,k,red\n", 1, "colour"},
        {"effective_at,change,account,kind,Kind\n" + time + ",rule,a,k,\n", 1, "kind"},
        {"change,account,kind\nrule,a,k\n", 1, "effective_at"},
        // A year that overflows a time in nanoseconds.
        {Rules("6026-12-04 06:00,rule,a,k,1,1\n"), 2, "effective_at"},
        {Rules(time + ",rule,a,k,ten,1\n"), 2, "priority"},
        {Rules(time + ",rule,a,k,10,1\n"), 2, "priority"},
        {Rules(time + ",rule,a,k,-1,1\n"), 2, "priority"},
        {Rules(time + ",rule,a,k,1,\"1.234,5\"\n"), 2, "weight"},
        {Rules(time + ",rule,a,k,1,0\n"), 2, "weight"},
        {Rules(time + ",rule,a,k,1,inf\n"), 2, "weight"},
        {Rules(time + ",rule,,k,1,1\n"), 2, "account"},
        {Rules(time + ",sell,a,k,1,1\n"), 2, "change"},
        {Rules(time + ",rule,a,k,1,1,extra\n"), 2, ""},
        {Rules(",rule,a,k,1,1\n"), 2, "effective_at"},
        {Rules("\n" + time + ",rule,a,k,1,1\n\n" + time + ",rule,a,k,2,1\n"), 5, "effective_at"},
        {Rules(time + ",rule,a,k,1,1\n" + time + ",rule,\"b,k,1,1\n"), 3, ""},
        {Rules(time + ",rule,b\"c\",k,1,1\n"), 2, ""},
        {Rules(time + ",rule,Bogot\xe1,k,1,1\n"), 2, ""},
        {std::string("e\0f\0", 4), 1, ""},
        {"effective_at,change,account,kind,model\n" + time + ",rule,a,k,m\n", 2, "model"},
    };
    for (const auto& row : rows) {
      const auto result = Parse(row.text, MakeOptions());
      CPPUNIT_ASSERT_MESSAGE(row.text, !result.ok());
      const bool found = std::any_of(
          result.faults.begin(), result.faults.end(),
          [&](const auto& fault) { return fault.row == row.row && fault.column == row.column; });
      CPPUNIT_ASSERT_MESSAGE(row.text + " -> " + List(result.faults), found);
      CPPUNIT_ASSERT(result.sheet.rows.empty());
    }
  }

  // Guards against planners who must submit once for each fault.
  void AllFaultsAreListed() {
    const auto result = Parse(
        "effective_at,change,model,version,origin,root,policy,batch_size\n"
        "soon,rollout,a/b,,,xyz,fastest,0\n"
        "2026-12-04 06:00,rollout,m,v,o:1," +
            Root() + ",time-first,none\n",
        MakeOptions());
    std::set<std::pair<std::size_t, std::string>> cells;
    for (const auto& fault : result.faults) cells.emplace(fault.row, fault.column);
    const std::set<std::pair<std::size_t, std::string>> expected = {
        {2, "effective_at"}, {2, "model"},  {2, "version"},    {2, "origin"},
        {2, "root"},         {2, "policy"}, {2, "batch_size"}, {3, "batch_size"}};
    CPPUNIT_ASSERT_MESSAGE(List(result.faults), cells == expected);
  }

  void SameSheetChangesNothing() {
    config::TestLog log;
    const std::string a = "2026-12-04 06:00,rule,a,k,1,1\n";
    const std::string b = "2026-12-04 07:00,rule,b,k,2,1\n";
    const auto first = Parse(Rules(a + b), MakeOptions());
    CPPUNIT_ASSERT(log.Apply(ToRecord(first.sheet, {.request_id = "q1"})).ok());
    log.Apply(config::ApplySchedule{Utc(kBogotaSix)});
    const auto again = Parse(Rules(b + "\n" + a), MakeOptions());
    const auto result = log.Apply(ToRecord(again.sheet, {.request_id = "q2", .base_revision = 1}));
    CPPUNIT_ASSERT(result.status == config::ApplyStatus::kUnchanged);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.machine.state().sheet.pending.size());
  }

  void DifferenceShowsEachKind() {
    config::TestLog log;
    const std::string done = "2026-12-04 06:00,rule,a,k,1,1\n";
    const std::string kept = "2026-12-04 08:00,rule,b,k,2,1\n";
    const std::string gone = "2026-12-04 09:00,rule,c,k,3,1\n";
    const auto first = Parse(Rules(done + kept + gone), MakeOptions());
    log.Apply(ToRecord(first.sheet, {.request_id = "q1"}));
    log.Apply(config::ApplySchedule{Utc(kBogotaSix)});
    const std::string late = "2026-12-04 06:30,rule,d,k,4,1\n";
    const std::string same = "2026-12-04 10:00,rule,d,k,4,1\n";
    const auto sheet = Parse(Rules(same + done + kept + late), MakeOptions()).sheet;
    const auto lines = Difference(sheet, log.machine.state(), Utc(kBogotaSix + 3600));
    const Effect expected[] = {Effect::kTookEffect, Effect::kAdded, Effect::kKept, Effect::kInForce,
                               Effect::kRemoved};
    CPPUNIT_ASSERT_EQUAL(std::size(expected), lines.size());
    for (std::size_t i = 0; i < lines.size(); ++i) CPPUNIT_ASSERT(lines[i].effect == expected[i]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, lines[1].row);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lines[1].warnings.size());
    CPPUNIT_ASSERT_EQUAL(std::string("c, k"), lines[4].object);
  }

  void RandomBytesNeverCrash() {
    const std::string base = Rules("2026-12-04 06:00,rule,\"a\",k,1,1\n");
    for (unsigned seed = 1; seed <= 3000; ++seed) {
      std::mt19937 random(seed);
      std::string text = base;
      for (int i = 0; i < 6; ++i) {
        text[random() % text.size()] = static_cast<char>(random() % 4 == 0 ? random() : '"');
      }
      const auto result = Parse(text, MakeOptions());
      CPPUNIT_ASSERT(result.ok() == !result.sheet.rows.empty());
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SheetTest);

}  // namespace
}  // namespace wagtailslip::sheet
