// What of a stream goes out, and when and where a broken one may go on.
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

// One answer to the caller from several servers: each gives its pieces and then
// breaks, but for the last one, which ends whole.
struct StreamCase {
  const char *m_Name;
  std::vector<std::vector<std::string>> m_Answers;
  // All that the caller gets.
  std::string m_Delivered;
  // The caller can take the answer for complete.
  bool m_Complete = true;
};

const StreamCase StreamCases[] = {
    {"whole at once",
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
    {"cut before anything came",
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
      const StreamPiece Piece = takePiece(Stream, Bytes);
      if (!Piece.m_Fits)
        return Result;
      Result.m_Bytes += Piece.m_Data;
    }
  }
  const auto Rest = takeRest(Stream);
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
    {"nothing has gone out", false, false, 1, JsonBody, 10s, 1.0,
     RetryOutcome::Retry},
    {"the engine can't resume", false, true, 1, JsonBody, 10s, 10.0,
     RetryOutcome::AnswerBegun},
    {"the engine can", true, true, 1, JsonBody, 10s, 1.0, RetryOutcome::Retry},
    {"resuming costs a part of a retry", true, true, 1, JsonBody, 10s, 0.1,
     RetryOutcome::Retry},
    {"but not nothing", true, true, 1, JsonBody, 10s, 0.0,
     RetryOutcome::BudgetSpent},
    {"a whole retry costs one", false, false, 1, JsonBody, 10s, 0.9,
     RetryOutcome::BudgetSpent},
    {"tried often enough", true, true, 3, JsonBody, 10s, 10.0,
     RetryOutcome::TooManyAttempts},
    {"past the deadline", true, true, 1, JsonBody, -1ms, 10.0,
     RetryOutcome::PastDeadline},
    {"a body that can't name a token", true, true, 1, "plain text", 10s, 10.0,
     RetryOutcome::AnswerBegun}};

} // namespace

TEST_CASE("a caller gets each event of a resumed stream once and in order") {
  for (const StreamCase &Case : StreamCases) {
    INFO(Case.m_Name);
    const Delivery Got = deliver(Case);
    CHECK(Got.m_Bytes == Case.m_Delivered);
    CHECK(Got.m_Complete == Case.m_Complete);
  }
}

TEST_CASE("a stream of a service that can't resume passes as it comes") {
  StreamProgress Stream;
  CHECK(takePiece(Stream, "data: {\"ind").m_Data == "data: {\"ind");
  CHECK(takePiece(Stream, Closing).m_Data == Closing);
  CHECK(takeRest(Stream) == "");
}

TEST_CASE("an engine that doesn't count its tokens isn't asked to resume") {
  StreamProgress Stream = resumable();
  CHECK(takePiece(Stream, token(0) + token(0)).m_Data == token(0) + token(0));
  CHECK_FALSE(Stream.m_Resumable);
}

TEST_CASE("an event without end isn't held for ever") {
  StreamProgress Stream = resumable();
  const std::string Long(std::size_t{100} * 1024, 'x');
  CHECK(takePiece(Stream, Long).m_Data == Long);
  CHECK_FALSE(Stream.m_Resumable);
}

TEST_CASE("a broken stream goes on within the rules of retries") {
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

TEST_CASE("the next server is told where to go on") {
  StreamProgress Stream = resumable();
  CHECK(resumeBody(Stream, "anything") == "anything");
  Stream.m_NextToken = 7;
  CHECK(resumeBody(Stream, R"({"prompt":"p","resume_from":2})") ==
        R"({"prompt":"p","resume_from":7})");
  CHECK(resumeBody(Stream, "[1]") == std::nullopt);
}

TEST_CASE("the next choice avoids what was tried and the zone that failed") {
  AttemptHistory History;
  History.m_Tried = {"engine-1"};
  History.m_FailedZone = "zone-a";
  ChoiceRequest First;
  First.m_MaxOutstanding = 8;
  CHECK(nextChoice(History, First).m_Tried == &History.m_Tried);
  CHECK(nextChoice(History, First).m_FailedZone == "zone-a");
  CHECK(nextChoice(History, First).m_MaxOutstanding == 8);
  // A caller that has part of its answer goes ahead of new ones.
  History.m_AnswerBegun = true;
  CHECK(nextChoice(History, First).m_MaxOutstanding == 16);
}
