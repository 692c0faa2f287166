// Messages between entries and agents that carry requests and answers. Guards
// against texts of callers and backend servers that aren't UTF-8, which HTTP
// allows: the message as a whole couldn't be parsed.
#include "Entry/CallRequests.h"

#include <Log.pb.h>

#include <catch2/catch.hpp>

using namespace mangocart;

namespace {

constexpr const char *Latin = "caf\xe9";

template <class Message> bool doesArrive(const Message &Sent) {
  Message Received;
  return Received.ParseFromString(Sent.SerializeAsString()) &&
         Received.SerializeAsString() == Sent.SerializeAsString();
}

} // namespace

TEST_CASE("a request with bytes above ASCII arrives as it was sent") {
  const HttpRequest Request{"POST",
                            std::string("/v1/drafts/") + Latin,
                            {{"X-Visitor", Latin}},
                            Latin,
                            {}};
  const schema::CallRequest Call = toCallRequest(Request, "id-1", "assistant");
  REQUIRE(doesArrive(Call));
  CHECK(Call.target() == Request.m_Target);
  REQUIRE(Call.headers_size() == 1);
  CHECK(Call.headers(0).value() == Latin);
  CHECK(Call.body() == Latin);
}

TEST_CASE("an answer with bytes above ASCII arrives, also from the ledger") {
  schema::CallReply Reply;
  Reply.mutable_head()->set_status(200);
  schema::Header *Header = Reply.mutable_head()->add_headers();
  Header->set_name("X-Row");
  Header->set_value(Latin);
  REQUIRE(doesArrive(Reply));
  const HttpHead Head = toHttpHead(Reply.head(), "id-1");
  REQUIRE(!Head.m_Headers.empty());
  CHECK(Head.m_Headers[0].m_Value == Latin);
  schema::Settle Settled;
  *Settled.mutable_answer()->mutable_headers() = Reply.head().headers();
  CHECK(doesArrive(Settled));
}
