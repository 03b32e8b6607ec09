// Tests of the invariants that RequestRecord checks. Each death test guards
// against a check that does not abort the process on a violation.
#include "routing/request_record.h"

#include <gtest/gtest.h>

namespace tanagerloom {
namespace {

TEST(RequestRecordDeathTest, SecondAnswerAborts) {
  EXPECT_DEATH(
      {
        RequestRecord record("r", true);
        record.OnAnswer(Verdict::kNotRun);
        record.OnAnswer(Verdict::kNotRun);
      },
      "one_answer_per_request");
}

TEST(RequestRecordDeathTest, MissingAnswerAborts) {
  EXPECT_DEATH(RequestRecord("r", true), "one_answer_per_request");
}

TEST(RequestRecordDeathTest, SecondDispatchAfterMayHaveRunAborts) {
  EXPECT_DEATH(
      {
        RequestRecord record("r", /*retryable=*/false);
        record.OnDispatch();
        record.OnVerdict(Verdict::kMayHaveRun);
        record.OnDispatch();
      },
      "at_most_one_dispatch");
}

// Without a verdict the first attempt may still be running.
TEST(RequestRecordDeathTest, SecondDispatchDuringTheFirstAborts) {
  EXPECT_DEATH(
      {
        RequestRecord record("r", /*retryable=*/false);
        record.OnDispatch();
        record.OnDispatch();
      },
      "at_most_one_dispatch");
}

TEST(RequestRecordDeathTest, NotRunRefusalAfterMayHaveRunAborts) {
  EXPECT_DEATH(
      {
        RequestRecord record("r", true);
        record.OnDispatch();
        record.OnVerdict(Verdict::kMayHaveRun);
        record.OnAnswer(Verdict::kNotRun);
      },
      "not_run_refusal_is_true");
}

TEST(RequestRecordDeathTest, DispatchAfterTheAnswerAborts) {
  EXPECT_DEATH(
      {
        RequestRecord record("r", true);
        record.OnAnswer(Verdict::kNotRun);
        record.OnDispatch();
      },
      "no_dispatch_after_answer");
}

TEST(RequestRecordDeathTest, VerdictWithoutADispatchAborts) {
  EXPECT_DEATH(
      {
        RequestRecord record("r", true);
        record.OnVerdict(Verdict::kNotRun);
      },
      "one_verdict_per_dispatch");
}

// Guards against refusing a further attempt after attempts that did not run.
TEST(RequestRecordTest, DispatchIsAllowedAfterAttemptsThatDidNotRun) {
  RequestRecord record("r", /*retryable=*/false);
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(record.MayDispatch());
    record.OnDispatch();
    EXPECT_FALSE(record.MayDispatch());
    record.OnVerdict(Verdict::kNotRun);
  }
  EXPECT_EQ(record.verdict(), Verdict::kNotRun);
  record.OnAnswer(Verdict::kNotRun);
}

}  // namespace
}  // namespace tanagerloom
