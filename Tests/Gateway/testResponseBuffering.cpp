// A server may send the body of a failure without end. The gateway buffers such
// a body whole, so without a limit one server exhausts its memory.
#include "Gateway/ResponseBuffering.h"

#include <catch2/catch.hpp>

using namespace mangocart;

namespace {

constexpr std::size_t MaxBytes = std::size_t{1} << 20;

// Feeds 1,000,000 pieces and returns the largest size that is buffered, or 0 if
// the response is never abandoned or forwarded.
std::size_t largestBuffer(bool IsSuccess, bool IsStarted) {
  constexpr std::size_t PieceBytes = 1000;
  for (std::size_t Piece = 1; Piece <= 1'000'000; ++Piece)
    if (bufferAction({Piece * PieceBytes, IsSuccess, IsStarted}, MaxBytes) !=
        BufferAction::Continue)
      return Piece * PieceBytes;
  return 0;
}

} // namespace

// Guards against an answer without events that ends a stream as complete.
TEST_CASE("a begun stream is continued by events only") {
  const HttpHead Events{200, {{"Content-Type", "Text/Event-Stream; x=1"}}};
  const HttpHead Page{200, {{"Content-Type", "text/html"}}};
  for (const bool IsStarted : {false, true}) {
    CHECK(hasEvents(Events, IsStarted));
    CHECK(hasEvents({200, {}}, IsStarted));
    CHECK_FALSE(hasEvents({204, {}}, IsStarted));
    CHECK_FALSE(hasEvents({500, Events.m_Headers}, IsStarted));
  }
  CHECK(hasEvents(Page, false));
  CHECK_FALSE(hasEvents(Page, true));
}

TEST_CASE("response buffering: a failure without end is abandoned") {
  CHECK(bufferAction({MaxBytes, false, false}, MaxBytes) ==
        BufferAction::Continue);
  CHECK(bufferAction({MaxBytes + 1, false, false}, MaxBytes) ==
        BufferAction::Abandon);
  CHECK(bufferAction({MaxBytes + 1, true, true}, MaxBytes) ==
        BufferAction::Abandon);
}

TEST_CASE("response buffering: a large success is forwarded") {
  CHECK(bufferAction({MaxBufferedSuccessBytes, true, false}, MaxBytes) ==
        BufferAction::Continue);
  CHECK(bufferAction({MaxBufferedSuccessBytes + 1, true, false}, MaxBytes) ==
        BufferAction::Forward);
}

TEST_CASE("response buffering: no response is buffered without limit") {
  for (const bool IsSuccess : {false, true})
    for (const bool IsStarted : {false, true}) {
      const std::size_t Largest = largestBuffer(IsSuccess, IsStarted);
      CHECK(Largest > 0);
      CHECK(Largest <= MaxBytes + 1000);
    }
}
