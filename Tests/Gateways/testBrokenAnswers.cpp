// Callers of a gateway whose replicas break some of their answers. Guards
// against a caller that gets a part of an answer, or bytes of another one, as a
// whole answer.
#include "Gateways/BrokenFleet.h"
#include "Gateways/GatewayDeployment.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <map>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

// More than the socket buffers of gateway and replica take.
constexpr std::size_t UploadBytes = 3'800'000;

class BrokenAnswers {
public:
  explicit BrokenAnswers(int Octet) : m_Deployment(Octet, 1) {
    m_Deployment.start();
    m_Fleet = std::make_unique<BrokenFleet>(m_Deployment, 5);
    std::this_thread::sleep_for(2s);
  }

  // Sends requests one after the other on each route and checks what the
  // callers get, byte by byte.
  void check(const std::string &Name, const BrokenFleet::Form &Form,
             std::size_t BodyBytes, unsigned Requests,
             const std::vector<std::string> &Paths = {"/plain/x", "/unsafe/x",
                                                      "/stream/x"}) {
    INFO(Name);
    m_Fleet->setForm(Form);
    const std::size_t Before = m_Fleet->broken().size();
    for (const std::string &Path : Paths) {
      std::map<unsigned, unsigned> ByStatus;
      for (unsigned I = 0; I < Requests; ++I)
        ++ByStatus[checkOne(Path, BodyBytes)];
      INFO(Path);
      CHECK(ByStatus[200] * 2 > Requests);
      std::string Text;
      for (const auto &[Status, Count] : ByStatus)
        Text += fmt::format(" {}x{}", Count, Status);
      WARN(Name << " " << Path << ":" << Text);
    }
    WARN(m_Fleet->broken().size() - Before << " broken answers");
    CHECK(m_Fleet->broken().size() > Before);
    m_Fleet->setForm({});
  }

  BrokenFleet &fleet() { return *m_Fleet; }

private:
  // The status that the caller got.
  unsigned checkOne(const std::string &Path, std::size_t BodyBytes) {
    const std::string Id = fmt::format("{:016x}", ++m_Sent);
    const unsigned Repeated = m_Fleet->repeated();
    const HttpResponse Got =
        call(m_Deployment.gateway(0), {"POST",
                                       Path,
                                       {{"Host", "test.example"},
                                        {"X-Mangocart-Request-Id", Id},
                                        {"X-Mangocart-Deadline-Ms", "2000"}},
                                       std::string(BodyBytes, 'u'),
                                       {}});
    const unsigned Status = Got.m_Head.m_Status;
    CAPTURE(Path, Id, Status, Got.m_Body.substr(0, 200));
    // Failures are the gateway's own, and are reported before the deadline.
    if (Status == 200)
      CHECK(Got.m_Body == WholeBody);
    else
      CHECK((Status == 502 || Status == 503));
    if (Path == "/unsafe/x") {
      CHECK(m_Fleet->repeated() == Repeated);
      if (m_Fleet->broken().contains(Id))
        CHECK(Status == 502);
    }
    return Status;
  }

  GatewayDeployment m_Deployment;
  std::unique_ptr<BrokenFleet> m_Fleet;
  std::uint64_t m_Sent = 0;
};

} // namespace

TEST_CASE("a part of an answer that a reset during the upload cuts off isn't "
          "passed on as whole") {
  BrokenAnswers Answers(112);
  for (const ConnectionEnd End : {ConnectionEnd::Reset, ConnectionEnd::Close})
    for (const std::size_t PartBytes : {0, 100, 16384})
      Answers.check(
          fmt::format("end {}, {} bytes", static_cast<int>(End), PartBytes),
          [=](const std::string &Id) {
            return BrokenAnswer{"HTTP/1.1 200 OK\r\n" + answerFields(Id) +
                                    "\r\n" + std::string(PartBytes, 'p'),
                                End};
          },
          UploadBytes, 60);
}

TEST_CASE("an answer whose status is no status isn't passed on") {
  BrokenAnswers Answers(113);
  const std::string Bodies[] = {
      "\r\n", "Content-Length: 4\r\n\r\npart",
      "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"};
  for (const std::string Status : {"000", "099", "600", "999", "1000", "99"})
    for (const std::string &Body : Bodies)
      for (const bool HasAnswerBehind : {false, true})
        Answers.check(
            fmt::format("status {}, {} bytes, answer behind it {}", Status,
                        Body.size(), HasAnswerBehind),
            [=](const std::string &Id) {
              const std::string Fields = answerFields(Id);
              BrokenAnswer Answer = {
                  joined({"HTTP/1.1 ", Status, " S\r\n", Fields, Body})};
              if (HasAnswerBehind)
                Answer.m_Text += joined({"HTTP/1.1 200 OK\r\n", Fields,
                                         "Content-Length: 4\r\n\r\nnext"});
              return Answer;
            },
            100, 20);
}

TEST_CASE("an interim answer with a body isn't passed on") {
  BrokenAnswers Answers(114);
  for (const std::string Status : {"100", "103", "199"})
    for (const std::string Body :
         {"Content-Length: 4\r\n\r\npart",
          "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"})
      Answers.check(
          fmt::format("status {} and {}", Status, Body),
          [=](const std::string &Id) {
            const std::string Fields = answerFields(Id);
            return BrokenAnswer{joined({"HTTP/1.1 ", Status, " S\r\n", Fields,
                                        Body, "HTTP/1.1 200 OK\r\n", Fields,
                                        "Content-Length: 4\r\n\r\nnext"})};
          },
          100, 20);
}

TEST_CASE("an answer with an invalid field isn't passed on") {
  BrokenAnswers Answers(115);
  const std::string Length =
      fmt::format("Content-Length: {}", WholeBody.size());
  const std::string Chunked = "Transfer-Encoding: chunked";
  const std::string Chunks =
      fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", WholeBody.size(), WholeBody);
  struct Row {
    std::string m_Name;
    std::string m_Lines;
    std::string m_Body;
  };
  std::vector<Row> Rows = {
      {"blank before a framing length", " " + Length, std::string(WholeBody)},
      {"blank before a framing coding", " " + Chunked, Chunks},
      {"tab before a framing coding", "\t" + Chunked, Chunks},
      {"blank behind a framing name", "Transfer-Encoding : chunked", Chunks}};
  for (const std::string Line :
       {"X A: v", "X\tA: v", "X-A : v", " X-A: v", "\tX-A: v", "\x01X-A: v",
        "X-A\x7F: v", ": v", " ", "X-A: v\x01"}) {
    Rows.push_back({"in front of the length", joined({Line, "\r\n", Length}),
                    std::string(WholeBody)});
    Rows.push_back(
        {"behind the coding", joined({Chunked, "\r\n", Line}), Chunks});
    Rows.push_back({"without framing", Line, std::string(WholeBody)});
  }
  for (const Row &Each : Rows)
    Answers.check(
        joined({Each.m_Name, ", ", Each.m_Lines}),
        [=](const std::string &Id) {
          return BrokenAnswer{joined({"HTTP/1.1 200 OK\r\n", answerFields(Id),
                                      Each.m_Lines, "\r\n\r\n", Each.m_Body}),
                              ConnectionEnd::Shutdown};
        },
        0, 20);
}

TEST_CASE("an answer that only its connection ends isn't whole if its server "
          "gives invalid responses to probes") {
  BrokenAnswers Answers(116);
  for (const std::string Probe :
       {"HTTP/1.1 000 S\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 999 S\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX A: v\r\nContent-Length: 0\r\n\r\n"}) {
    Answers.fleet().setProbeAnswer(Probe);
    Answers.check(
        Probe,
        [](const std::string &Id) {
          return BrokenAnswer{"HTTP/1.1 200 OK\r\n" + answerFields(Id) +
                                  "\r\n" + std::string(WholeBody),
                              ConnectionEnd::Shutdown};
        },
        // A stream's events are passed on before its server is probed.
        0, 20, {"/plain/x", "/unsafe/x"});
  }
}
