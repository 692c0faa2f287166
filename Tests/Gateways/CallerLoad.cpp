// Requests and their records.
#include "Gateways/CallerLoad.h"

#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace mangocart::test {

namespace {

constexpr std::chrono::seconds CallerDeadline{4};

std::chrono::microseconds since(std::chrono::steady_clock::time_point At) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - At);
}

} // namespace

bool isAnswered(const CallRecord &Record) {
  return Record.m_Status == 200 && Record.m_Ended;
}

bool isWhole(const CallRecord &Record) {
  return isAnswered(Record) &&
         (Record.m_Body == "whole answer" ||
          Record.m_Body.find("data: last") != std::string::npos);
}

CallerLoad::CallerLoad(std::vector<HttpTarget> Gateways,
                       std::vector<CallerKind> Kinds, std::uint64_t Seed)
    : m_Gateways(std::move(Gateways)), m_Kinds(std::move(Kinds)),
      m_Random(Seed), m_Client(m_Context) {
  for (std::size_t I = 0; I < m_Kinds.size(); ++I)
    m_Timers.emplace_back(m_Context);
}

CallerLoad::~CallerLoad() {
  m_Context.stop();
  if (m_Thread.joinable())
    m_Thread.join();
}

void CallerLoad::start() {
  for (std::size_t I = 0; I < m_Kinds.size(); ++I)
    if (m_Kinds[I].m_PerSecond > 0.0)
      sendNext(I);
  m_Thread = std::thread([this] { m_Context.run(); });
}

const std::deque<CallRecord> &CallerLoad::finish() {
  boost::asio::post(m_Context, [this] {
    m_Stopping = true;
    for (auto &Each : m_Timers)
      Each.cancel();
  });
  m_Thread.join();
  return m_Records;
}

void CallerLoad::sendNext(std::size_t Kind) {
  if (m_Stopping)
    return;
  const CallerKind &Sent = m_Kinds[Kind];
  CallRecord &Record = m_Records.emplace_back();
  Record.m_Kind = Kind;
  Record.m_SentAt = std::chrono::steady_clock::now();
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = Sent.m_IsUnsafe   ? "/unsafe/x"
                     : Sent.m_IsStream ? "/stream/x"
                                       : "/plain/x";
  Request.m_Headers = {{"Host", "test.example"},
                       {"X-Mangocart-Deadline-Ms", "4000"},
                       {"Connection", "close"}};
  if (Sent.m_Parts) {
    std::vector<std::string> Parts = Sent.m_Parts(m_Random);
    Parts.push_back(fmt::format("own{}", m_Records.size()));
    Request.m_Headers.push_back({"X-Mangocart-Model", "m"});
    Request.m_Headers.push_back({"X-Mangocart-Token-Count", "400,100"});
    Request.m_Headers.push_back(
        {"X-Mangocart-Prompt-Prefix",
         fmt::format("{}:100", fmt::join(Parts, ":100,"))});
  }
  if (Sent.m_Body)
    Request.m_Body = Sent.m_Body(m_Random);
  send(Record, Request);
  m_Timers[Kind].expires_after(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          std::chrono::duration<double>(1.0 / Sent.m_PerSecond)));
  m_Timers[Kind].async_wait([this, Kind](boost::system::error_code Error) {
    if (!Error)
      sendNext(Kind);
  });
}

void CallerLoad::send(CallRecord &Record, const HttpRequest &Request) {
  ++Record.m_Attempts;
  Record.m_Status = 0;
  Record.m_Body.clear();
  HttpCallHandlers Handlers;
  Handlers.m_OnHead = [&Record](const HttpHead &Head) {
    Record.m_Status = Head.m_Status;
  };
  Handlers.m_OnBody = [&Record](std::string_view Chunk) {
    Record.m_Body.append(Chunk);
  };
  Handlers.m_OnEnd = [this, &Record, Request] {
    Record.m_Ended = true;
    onEnded(Record, Request);
  };
  Handlers.m_OnError = [this, &Record, Request](const HttpError &) {
    onEnded(Record, Request);
  };
  HttpRequest Attempt = Request;
  Attempt.m_Headers.push_back(
      {"X-Mangocart-Request-Id", fmt::format("{:016x}", m_Random())});
  m_Client.send(m_Gateways[uniform(m_Random, 0, m_Gateways.size() - 1)],
                std::move(Attempt), CallerDeadline, std::move(Handlers));
}

void CallerLoad::onEnded(CallRecord &Record, const HttpRequest &Request) {
  Record.m_EndedAfter = since(Record.m_SentAt);
  if (isAnswered(Record) ||
      Record.m_Attempts > m_Kinds[Record.m_Kind].m_Retries)
    return;
  Record.m_Ended = false;
  send(Record, Request);
}

} // namespace mangocart::test
