// Only complete events are returned, however the bytes are split.
#include "Gateway/EventStreamSplitter.h"

#include <catch2/catch.hpp>

using namespace mangocart;

TEST_CASE("an event is returned when it is complete") {
  EventStreamSplitter C;
  CHECK(C.take("id: 1\ndata: a").empty());
  CHECK(C.pendingBytes() == 13);
  CHECK(C.take("\n\nid: 2\n") == "id: 1\ndata: a\n\n");
  CHECK(C.lastId() == "1");
  CHECK(C.take("data: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK(C.lastId() == "2");
  CHECK(C.pendingBytes() == 0);
}

TEST_CASE("every split of the bytes gives the same events") {
  const std::string Stream =
      "id: 7\r\ndata: x\r\n\r\nid: 8\r\ndata: y\r\n\r\ndata: no id\r\n\r\n";
  for (std::size_t First = 0; First <= Stream.size(); ++First)
    for (std::size_t Second = First; Second <= Stream.size(); ++Second) {
      EventStreamSplitter C;
      std::string Out = C.take(std::string_view(Stream).substr(0, First));
      Out += C.take(std::string_view(Stream).substr(First, Second - First));
      Out += C.take(std::string_view(Stream).substr(Second));
      REQUIRE(Out == Stream);
      REQUIRE(C.lastId() == "8");
    }
}

TEST_CASE("an incomplete event is discarded before another server continues") {
  EventStreamSplitter C;
  C.take("id: 1\n\nid: 2\nda");
  C.discardPending();
  CHECK(C.lastId() == "1");
  CHECK(C.take("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
}

TEST_CASE(
    "an event that arrives byte by byte is returned when it is complete") {
  const std::string Event =
      "id: 1\ndata: " + std::string(200'000, 'x') + "\r\n\r\n";
  EventStreamSplitter C;
  std::string Out;
  // Scanning all pending bytes at each of them takes minutes.
  for (const char Byte : Event)
    Out += C.take(std::string_view(&Byte, 1));
  CHECK(Out == Event);
  CHECK(C.pendingBytes() == 0);
}
