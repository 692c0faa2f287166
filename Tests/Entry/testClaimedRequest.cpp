// Answers of settled requests as callers get them. Guards against a stored
// answer that is sent with a status or headers that it didn't have.
#include "Entry/ClaimedRequest.h"

#include "Peer.pb.h"

#include <catch2/catch.hpp>

using namespace mangocart;

namespace {

std::string storedAnswer(unsigned Status, const std::string &Name,
                         const std::string &Value) {
  schema::StoredAnswer Stored;
  Stored.set_status(Status);
  schema::Header *Header = Stored.add_headers();
  Header->set_name(Name);
  Header->set_value(Value);
  Stored.set_body("stored");
  return Stored.SerializeAsString();
}

HttpResponse answerWith(std::string Stored) {
  AnswerCaller Answer;
  Answer.m_Reason = AnswerReason::Answered;
  Answer.m_Outcome = schema::RAN;
  Answer.m_Answer = std::move(Stored);
  return toResponse(Answer, "id-1", "key-1");
}

} // namespace

TEST_CASE("a stored answer is sent as it came") {
  for (const unsigned Status : {200U, 404U, 599U}) {
    const HttpResponse Response =
        answerWith(storedAnswer(Status, "X-A", "v\tw"));
    CHECK(Response.m_Head.m_Status == Status);
    CHECK(findHeader(Response.m_Head.m_Headers, "X-A") == "v\tw");
    CHECK(Response.m_Body == "stored");
  }
}

TEST_CASE("a stored answer that can't be sent counts as not kept") {
  const std::string Broken[] = {"",
                                "\xFF\xFF",
                                storedAnswer(0, "X-A", "v"),
                                storedAnswer(100, "X-A", "v"),
                                storedAnswer(199, "X-A", "v"),
                                storedAnswer(600, "X-A", "v"),
                                storedAnswer(999, "X-A", "v"),
                                storedAnswer(200, "", "v"),
                                storedAnswer(200, "X A", "v"),
                                storedAnswer(200, " X-A", "v"),
                                storedAnswer(200, "X-A ", "v"),
                                storedAnswer(200, "X-A\r\nX-B", "v"),
                                storedAnswer(200, "X-A\x01", "v"),
                                storedAnswer(200, "X-A", "v\r\nX-B: w"),
                                storedAnswer(200, "X-A", "v\x7F")};
  for (const std::string &Each : Broken) {
    INFO(&Each - Broken);
    const HttpResponse Response = answerWith(Each);
    CHECK(Response.m_Head.m_Status == 200);
    CHECK(findHeader(Response.m_Head.m_Headers, "Mangocart-Outcome") == "ran");
    CHECK_FALSE(findHeader(Response.m_Head.m_Headers, "X-A"));
    CHECK(Response.m_Body.find("answer-not-kept") != std::string::npos);
    CHECK(Response.m_Body.find("stored") == std::string::npos);
    CHECK(isSendable(Response.m_Head));
  }
}
