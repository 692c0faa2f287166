// Shapes of orders in the administration API.
#include "Planning/OrderMessages.h"

#include <catch2/catch.hpp>

using namespace mangocart;

TEST_CASE("an order names its backend server, kind and id") {
  const auto Good = parseOrder(
      R"({"backend_server":"e","kind":"switch-expert-map","order_id":"x-1",)"
      R"("payload":"p","timeout_ms":2000})");
  REQUIRE(Good);
  const schema::Order &Order = Good.value().m_Order;
  CHECK(Order.backend_server() == "e");
  CHECK(Order.kind() == schema::Order::SWITCH_EXPERT_MAP);
  CHECK(Order.order_id() == "x-1");
  CHECK(Order.payload() == "p");
  CHECK(Good.value().m_Longest == std::chrono::seconds(2));
  const char *Bad[] = {
      "",
      "[]",
      R"({"kind":"load","order_id":"x"})",
      R"({"backend_server":"e","order_id":"x"})",
      R"({"backend_server":"e","kind":"kind-unspecified","order_id":"x"})",
      R"({"backend_server":"e","kind":"load"})",
      R"({"backend_server":"e","kind":"load","order_id":"x\r\ny: z"})",
      R"({"backend_server":"e","kind":"load","order_id":"x","timeout_ms":9})",
  };
  for (const char *Body : Bad) {
    INFO(Body);
    const auto Refused = parseOrder(Body);
    REQUIRE_FALSE(Refused);
    CHECK(Refused.error().m_Head.m_Status == 400);
  }
}

TEST_CASE("each end of an order has a status") {
  using schema::OrderAnswer;
  const std::pair<OrderAnswer::Verdict, unsigned> Rows[] = {
      {OrderAnswer::CARRIED_OUT, 200}, {OrderAnswer::OLD_NUMBER, 409},
      {OrderAnswer::NOT_YET, 503},     {OrderAnswer::REFUSED, 502},
      {OrderAnswer::IN_DOUBT, 503},    {OrderAnswer::WRONG_ORDER, 422}};
  for (const auto &[Verdict, Status] : Rows) {
    OrderEnd End;
    End.m_Answer.set_verdict(Verdict);
    const HttpResponse Response = orderResponse("x", End);
    CHECK(Response.m_Head.m_Status == Status);
    CHECK(findHeader(Response.m_Head.m_Headers, "Retry-After").has_value() ==
          (Status == 503));
  }
  OrderEnd Old;
  Old.m_Answer.set_verdict(OrderAnswer::OLD_NUMBER);
  Old.m_Answer.set_number_in_force(9);
  Old.m_FencingNumber = 8;
  CHECK(orderResponse("x", Old).m_Body ==
        "{\"verdict\":\"old-number\",\"outcome\":\"not-run\",\"order_id\":"
        "\"x\",\"fencing_number\":8,\"number_in_force\":9,\"backend_status\":0,"
        "\"detail\":\"\"}\n");
}
