// Answers that break off while their request is still being sent. Guards
// against a client that takes a part of an answer for the whole.
#include "Http/TestCaller.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t UploadBytes = 3'800'000;
// More than the socket buffers of both ends take.
constexpr std::size_t LargeUploadBytes = 32'000'000;

std::string describe(const BrokenAnswer &Answer,
                     std::chrono::milliseconds ReadingPause) {
  return fmt::format("end {}, pause {} us, {} bytes read, {} bytes of text, "
                     "reading pauses {} ms",
                     static_cast<int>(Answer.m_End), Answer.m_Pause.count(),
                     Answer.m_ReadBytes, Answer.m_Text.size(),
                     ReadingPause.count());
}

} // namespace

TEST_CASE("a part of an answer isn't whole when the connection is reset during "
          "the upload",
          "[reset]") {
  constexpr unsigned Calls = 20;
  for (const ConnectionEnd End : {ConnectionEnd::Reset, ConnectionEnd::Close})
    for (const std::size_t PartBytes : {0, 100, 16384})
      for (const std::chrono::microseconds Pause : {0us, 1000us, 20000us})
        for (const std::size_t ReadBytes : {0, 65536}) {
          const BrokenAnswer Answer = {StatusLine + "\r\n" +
                                           std::string(PartBytes, 'p'),
                                       End, Pause, ReadBytes};
          INFO(describe(Answer, 0ms));
          const BrokenServer Server("127.0.0.1", 0, always(Answer));
          TestCaller Client(Server);
          for (unsigned I = 0; I < Calls; ++I)
            checkBroken(Client.upload(UploadBytes),
                        HttpErrorCode::ConnectionLost);
        }
}

// A socket reports a reset once: here to the writing side, as nothing is read
// meanwhile.
TEST_CASE("a part of an answer isn't whole when the connection is reset while "
          "reading pauses",
          "[reset]") {
  for (const ConnectionEnd End : {ConnectionEnd::Reset, ConnectionEnd::Close})
    for (const std::size_t PartBytes : {0, 100, 16384, 100000})
      for (const std::chrono::microseconds Pause : {0us, 1000us, 20000us}) {
        const BrokenAnswer Answer = {
            StatusLine + "\r\n" + std::string(PartBytes, 'p'), End, Pause, 0};
        INFO(describe(Answer, 60ms));
        const BrokenServer Server("127.0.0.1", 0, always(Answer));
        TestCaller Client(Server);
        Client.setReadingPause(60ms);
        for (unsigned I = 0; I < 3; ++I)
          checkBroken(Client.upload(UploadBytes),
                      HttpErrorCode::ConnectionLost);
      }
}

TEST_CASE("an answer that only its connection ends is whole once the request "
          "is sent",
          "[reset]") {
  for (const std::size_t Bytes : {UploadBytes, LargeUploadBytes})
    for (const std::chrono::milliseconds ReadingPause : {0ms, 60ms})
      for (const std::chrono::microseconds Pause : {0us, 30000us}) {
        const BrokenAnswer Answer = {StatusLine + "\r\nwhole",
                                     ConnectionEnd::Shutdown, Pause, 0};
        INFO(describe(Answer, ReadingPause));
        const BrokenServer Server("127.0.0.1", 0, always(Answer));
        TestCaller Client(Server);
        Client.setReadingPause(ReadingPause);
        for (unsigned I = 0; I < 5; ++I)
          checkWhole(Client.upload(Bytes));
      }
}

TEST_CASE("an answer that only its connection ends isn't whole when the rest "
          "of the request meets a reset",
          "[reset]") {
  const BrokenServer Server(
      "127.0.0.1", 0,
      always({StatusLine + "\r\npart", ConnectionEnd::ShutdownThenReset, 30ms,
              0}));
  TestCaller Client(Server);
  for (unsigned I = 0; I < 5; ++I)
    checkBroken(Client.upload(LargeUploadBytes), HttpErrorCode::ConnectionLost);
}

TEST_CASE("an answer with a length or chunks is whole although the connection "
          "is reset behind it",
          "[reset]") {
  const std::string Texts[] = {
      "HTTP/1.1 413 Large\r\nContent-Length: 5\r\n\r\nwhole",
      "HTTP/1.1 413 Large\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"
      "0\r\n\r\n"};
  for (const std::string &Text : Texts)
    for (const std::chrono::milliseconds ReadingPause : {0ms, 60ms}) {
      const BrokenAnswer Answer = {Text, ConnectionEnd::Reset, 0us, 0};
      INFO(describe(Answer, ReadingPause));
      const BrokenServer Server("127.0.0.1", 0, always(Answer));
      TestCaller Client(Server);
      Client.setReadingPause(ReadingPause);
      for (unsigned I = 0; I < 5; ++I) {
        const CallOutcome Result = Client.upload(UploadBytes);
        CHECK(Result.m_HasEnded);
        CHECK(Result.m_Body == "whole");
      }
    }
}
