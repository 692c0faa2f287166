// Tests which data of a stream is sent, and when and where an interrupted
// stream is resumed.
#include "Entry/StreamResume.h"

#include <catch2/catch.hpp>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

const std::string Opening = "data: {\"request\":\"r\"}\n\n";
const std::string Closing = "data: [DONE]\n\n";

std::string token(int Index) {
  const std::string Number = std::to_string(Index);
  return "data: {\"index\":" + Number + ",\"token\":\"t" + Number + "\"}\n\n";
}

StreamProgress resumable() {
  StreamProgress Stream;
  Stream.m_Resumable = true;
  return Stream;
}

// One answer assembled from several servers: each sends its chunks and then
// fails, except for the last one, which completes.
struct StreamCase {
  const char *m_Name;
  std::vector<std::vector<std::string>> m_Answers;
  // All data sent to the caller.
  std::string m_Delivered;
  // The caller can recognize the answer as complete.
  bool m_Complete = true;
};

const StreamCase StreamCases[] = {
    {"complete at once",
     {{Opening + token(0) + token(1) + Closing}},
     Opening + token(0) + token(1) + Closing},
    {"cut inside a token's event",
     {{Opening, token(0), token(1).substr(0, 12)}, {token(1) + Closing}},
     Opening + token(0) + token(1) + Closing},
    {"cut between tokens, byte by byte after",
     {{Opening + token(0)}, {"d", token(1).substr(1, 20), token(1).substr(21)}},
     Opening + token(0) + token(1),
     false},
    {"cut before the first token: the second opening is dropped",
     {{Opening}, {Opening + token(0) + Closing}},
     Opening + token(0) + Closing},
    {"cut before any data",
     {{}, {Opening + token(0) + Closing}},
     Opening + token(0) + Closing},
    {"cut after the closing event",
     {{Opening + token(0) + Closing}, {Closing}},
     Opening + token(0) + Closing},
    {"cut twice",
     {{Opening + token(0)}, {token(1)}, {token(2) + Closing}},
     Opening + token(0) + token(1) + token(2) + Closing},
    {"the other server repeats a token",
     {{Opening + token(0)}, {token(0) + token(1) + Closing}},
     Opening + token(0),
     false},
    {"the other server skips a token",
     {{Opening + token(0)}, {token(2) + Closing}},
     Opening + token(0),
     false},
    {"the continuation has no closing event",
     {{Opening + token(0)}, {token(1)}},
     Opening + token(0) + token(1),
     false}};

struct Delivery {
  std::string m_Bytes;
  bool m_Complete = false;
};

Delivery deliver(const StreamCase &Case) {
  StreamProgress Stream = resumable();
  Delivery Result;
  for (std::size_t Answer = 0; Answer < Case.m_Answers.size(); ++Answer) {
    if (Answer > 0)
      beginContinuation(Stream);
    for (const std::string &Bytes : Case.m_Answers[Answer]) {
      const StreamChunk Chunk = processChunk(Stream, Bytes);
      if (!Chunk.m_InOrder)
        return Result;
      Result.m_Bytes += Chunk.m_Data;
    }
  }
  const auto Rest = takeRemainder(Stream);
  Result.m_Bytes += Rest.value_or("");
  Result.m_Complete = Rest.has_value();
  return Result;
}

struct FailureCase {
  const char *m_Name;
  bool m_Resumable;
  bool m_AnswerBegun;
  std::size_t m_Attempts;
  const char *m_Body;
  Duration m_TimeLeft;
  double m_Balance;
  RetryOutcome m_Outcome;
};

constexpr const char *JsonBody = R"({"prompt":"p","max_tokens":100})";

const FailureCase FailureCases[] = {
    {"nothing was sent", false, false, 1, JsonBody, 10s, 1.0,
     RetryOutcome::Retry},
    {"the engine can't resume", false, true, 1, JsonBody, 10s, 10.0,
     RetryOutcome::AnswerBegun},
    {"the engine can resume", true, true, 1, JsonBody, 10s, 1.0,
     RetryOutcome::Retry},
    {"resuming costs a fraction of a retry", true, true, 1, JsonBody, 10s, 0.1,
     RetryOutcome::Retry},
    {"resuming is not free", true, true, 1, JsonBody, 10s, 0.0,
     RetryOutcome::BudgetSpent},
    {"a full retry costs one", false, false, 1, JsonBody, 10s, 0.9,
     RetryOutcome::BudgetSpent},
    {"too many attempts", true, true, 3, JsonBody, 10s, 10.0,
     RetryOutcome::TooManyAttempts},
    {"past the deadline", true, true, 1, JsonBody, -1ms, 10.0,
     RetryOutcome::PastDeadline},
    {"a body that cannot specify a token", true, true, 1, "plain text", 10s,
     10.0, RetryOutcome::AnswerBegun}};

} // namespace

TEST_CASE(
    "a caller receives each event of a resumed stream once and in order") {
  for (const StreamCase &Case : StreamCases) {
    INFO(Case.m_Name);
    const Delivery Got = deliver(Case);
    CHECK(Got.m_Bytes == Case.m_Delivered);
    CHECK(Got.m_Complete == Case.m_Complete);
  }
}

TEST_CASE(
    "a stream of a service without resume support is forwarded unchanged") {
  StreamProgress Stream;
  CHECK(processChunk(Stream, "data: {\"ind").m_Data == "data: {\"ind");
  CHECK(processChunk(Stream, Closing).m_Data == Closing);
  CHECK(takeRemainder(Stream) == "");
}

TEST_CASE("a stream with inconsecutive token numbers is not resumable") {
  StreamProgress Stream = resumable();
  CHECK(processChunk(Stream, token(0) + token(0)).m_Data ==
        token(0) + token(0));
  CHECK_FALSE(Stream.m_Resumable);
}

TEST_CASE("an unterminated event is not held back indefinitely") {
  StreamProgress Stream = resumable();
  const std::string Long(std::size_t{100} * 1024, 'x');
  CHECK(processChunk(Stream, Long).m_Data == Long);
  CHECK_FALSE(Stream.m_Resumable);
}

TEST_CASE("an interrupted stream is resumed within the retry rules") {
  for (const FailureCase &Case : FailureCases) {
    INFO(Case.m_Name);
    AttemptHistory History;
    History.m_Tried.resize(Case.m_Attempts);
    History.m_AnswerBegun = Case.m_AnswerBegun;
    History.m_Stream.m_Resumable = Case.m_Resumable;
    if (Case.m_AnswerBegun)
      History.m_Stream.m_NextToken = 7;
    const TimePoint Now{};
    const FailedAttempt Failed = describeFailure(
        History, {1, 8, 108}, Case.m_Body, false, Now + Case.m_TimeLeft);
    RetryBudget Budget{Case.m_Balance};
    Random Generator(1);
    CHECK(decideRetry(Budget, Failed, {}, Now, Generator).m_Outcome ==
          Case.m_Outcome);
  }
}

TEST_CASE("the next server is told where to resume") {
  StreamProgress Stream = resumable();
  CHECK(resumeBody(Stream, "anything") == "anything");
  Stream.m_NextToken = 7;
  CHECK(resumeBody(Stream, R"({"prompt":"p","resume_from":2})") ==
        R"({"prompt":"p","resume_from":7})");
  CHECK(resumeBody(Stream, "[1]") == std::nullopt);
}

TEST_CASE("the next choice avoids tried servers and the failed zone") {
  AttemptHistory History;
  History.m_Tried = {"engine-1"};
  History.m_FailedZone = "zone-a";
  ChoiceRequest First;
  First.m_MaxOutstanding = 8;
  CHECK(nextChoice(History, First).m_Tried == &History.m_Tried);
  CHECK(nextChoice(History, First).m_FailedZone == "zone-a");
  CHECK(nextChoice(History, First).m_MaxOutstanding == 8);
  // A caller that already has part of its answer takes precedence.
  History.m_AnswerBegun = true;
  CHECK(nextChoice(History, First).m_MaxOutstanding == 16);
}
