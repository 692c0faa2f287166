// Parses draft requests and paces the events of the response stream.
#include "Standin/DraftHandler.h"

#include "Standin/DraftTokens.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace mangocart {

namespace json = boost::json;

namespace {

constexpr std::uint64_t MaxTokensLimit = 1000000;
// Size of one write, and limit of the bytes queued for a slow client.
constexpr std::size_t MaxChunkBytes = std::size_t{16} * 1024;
constexpr std::size_t MaxQueuedBytes = std::size_t{64} * 1024;

std::string event(std::string_view Data) {
  return fmt::format("data: {}\n\n", Data);
}

bool readUnsigned(const json::object &Body, const char *Key,
                  std::uint64_t &Out) {
  const json::value *Value = Body.if_contains(Key);
  if (!Value)
    return true;
  boost::system::error_code Error;
  Out = Value->to_number<std::uint64_t>(Error);
  return !Error && Out <= MaxTokensLimit;
}

} // namespace

Result<DraftRequest, InvalidBodyError>
parseDraftRequest(std::string_view Json) {
  boost::system::error_code Error;
  const json::value Body =
      json::parse(json::string_view(Json.data(), Json.size()), Error);
  if (Error || !Body.is_object())
    return InvalidBodyError{
        "expected a JSON object with 'prompt' and 'max_tokens'"};
  const json::object &Fields = Body.get_object();
  DraftRequest Request;
  if (const json::value *Prompt = Fields.if_contains("prompt")) {
    if (!Prompt->is_string())
      return InvalidBodyError{"'prompt': expected a string"};
    Request.m_Prompt = Prompt->get_string().c_str();
  }
  if (!readUnsigned(Fields, "max_tokens", Request.m_MaxTokens))
    return InvalidBodyError{
        "'max_tokens': expected a number from 0 to 1000000"};
  if (!readUnsigned(Fields, "resume_from", Request.m_ResumeFrom))
    return InvalidBodyError{
        "'resume_from': expected a number from 0 to 1000000"};
  return Request;
}

DraftHandler::DraftHandler(std::shared_ptr<StandinContext> Context,
                           std::shared_ptr<HttpExchange> Exchange,
                           DraftRequest Request)
    : StandinRequestHandler(std::move(Context), std::move(Exchange)),
      m_Request(std::move(Request)), m_NextToken(m_Request.m_ResumeFrom) {}

void DraftHandler::run() {
  // A cached prefix shortens the time to the first token.
  const double Cached = context().m_Cache.lookUpAndInsert(m_Request.m_Prompt,
                                                          RuntimeClock::now());
  const double Uncached =
      static_cast<double>(context().m_Options.m_ServiceTime.count());
  const Duration Remaining(
      static_cast<Duration::rep>(Uncached * (1.0 - Cached)));
  scheduleAfter(Remaining, [this] { startResponse(); });
}

void DraftHandler::clientDisconnected() { finish(); }

void DraftHandler::startResponse() {
  if (faults().m_DropAnswer) {
    finish();
    return exchange().abort();
  }
  HttpHead Head{
      200,
      {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}}};
  echoRequestId(Head, exchange().request());
  exchange().startStream(std::move(Head));
  if (m_Request.m_ResumeFrom == 0 && !sendChunk(openingEvent()))
    return;
  sendTokens();
}

void DraftHandler::sendTokens() {
  const Duration Interval = context().m_Options.m_TokenInterval;
  const bool Paced = Interval > Duration::zero();
  std::string Chunk;
  while (m_NextToken < m_Request.m_MaxTokens && Chunk.size() < MaxChunkBytes) {
    Chunk += tokenEvent(m_NextToken++);
    ++context().m_Counters.m_TokensGenerated;
    if (Paced)
      break;
  }
  if (!Chunk.empty() && !sendChunk(std::move(Chunk)))
    return;
  if (m_NextToken >= m_Request.m_MaxTokens)
    return scheduleAfter(faults().m_Delay, [this] { finishResponse(); });
  if (exchange().queuedBytes() < MaxQueuedBytes && (Paced || faults().m_Stall))
    return scheduleAfter(Interval, [this] { sendTokens(); });
  exchange().onDrained([Self = shared_from_this(), this] {
    exchange().onDrained(nullptr);
    scheduleAfter(context().m_Options.m_TokenInterval,
                  [this] { sendTokens(); });
  });
}

void DraftHandler::finishResponse() {
  if (!sendChunk(event(DraftDoneData)))
    return;
  ++context().m_Counters.m_Completed;
  exchange().finishStream();
  finish();
}

std::string DraftHandler::openingEvent() {
  const HttpRequest &Request = exchange().request();
  const json::object Body{
      {"request", headerOrEmpty(Request, "Mangocart-Request")},
      {"checksum", checksumText(Request.m_Body)},
      {"bytes", Request.m_Body.size()},
      {"tokens", m_Request.m_MaxTokens},
      {"engine", context().m_Options.m_Name}};
  return event(json::serialize(Body));
}

std::string DraftHandler::tokenEvent(std::uint64_t Index) const {
  return event(draftTokenData(m_Request.m_Prompt, Index));
}

} // namespace mangocart
