// Requests and their records.
#include "Gateways/CallerLoad.h"

#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace mangocart::test {

namespace {

constexpr std::chrono::seconds CallerDeadline{4};

std::chrono::milliseconds since(std::chrono::steady_clock::time_point At) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - At);
}

} // namespace

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
  std::vector<std::string> Parts = Sent.m_Parts(m_Random);
  Parts.push_back(fmt::format("own{}", m_Records.size()));
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = Sent.m_IsStream ? "/stream/x" : "/plain/x";
  Request.m_Headers = {
      {"Host", "test.example"},
      {"X-Mangocart-Request-Id", fmt::format("{:016x}", m_Random())},
      {"X-Mangocart-Model", "m"},
      {"X-Mangocart-Token-Count", "400,100"},
      {"X-Mangocart-Prompt-Prefix",
       fmt::format("{}:100", fmt::join(Parts, ":100,"))},
      {"X-Mangocart-Deadline-Ms", "4000"},
      {"Connection", "close"}};
  HttpCallHandlers Handlers;
  Handlers.m_OnHead = [&Record](const HttpHead &Head) {
    Record.m_Status = Head.m_Status;
  };
  Handlers.m_OnBody = [&Record](std::string_view Chunk) {
    Record.m_Body.append(Chunk);
  };
  Handlers.m_OnEnd = [&Record] {
    Record.m_Ended = true;
    Record.m_EndedAfter = since(Record.m_SentAt);
  };
  Handlers.m_OnError = [&Record](const HttpError &) {
    Record.m_EndedAfter = since(Record.m_SentAt);
  };
  m_Client.send(m_Gateways[uniform(m_Random, 0, m_Gateways.size() - 1)],
                std::move(Request), CallerDeadline, std::move(Handlers));
  m_Timers[Kind].expires_after(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          std::chrono::duration<double>(1.0 / Sent.m_PerSecond)));
  m_Timers[Kind].async_wait([this, Kind](boost::system::error_code Error) {
    if (!Error)
      sendNext(Kind);
  });
}

} // namespace mangocart::test
