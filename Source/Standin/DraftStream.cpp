// Events of a draft and their pace.
#include "Standin/DraftStream.h"

#include "Standin/DraftTokens.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace mangocart {

namespace json = boost::json;

namespace {

constexpr std::uint64_t MaxTokensLimit = 1000000;
// Bytes of one write, and bytes that may wait for a slow client.
constexpr std::size_t PieceBytes = std::size_t{16} * 1024;
constexpr std::size_t MaxQueuedBytes = std::size_t{64} * 1024;

std::string event(std::string_view Data) {
  return fmt::format("data: {}\n\n", Data);
}

bool readCount(const json::object &Body, const char *Key, std::uint64_t &Out) {
  const json::value *Value = Body.if_contains(Key);
  if (!Value)
    return true;
  boost::system::error_code Error;
  Out = Value->to_number<std::uint64_t>(Error);
  return !Error && Out <= MaxTokensLimit;
}

} // namespace

Result<DraftRequest, FaultError> parseDraftRequest(std::string_view Json) {
  boost::system::error_code Error;
  const json::value Body =
      json::parse(json::string_view(Json.data(), Json.size()), Error);
  if (Error || !Body.is_object())
    return FaultError{"expected a JSON object with 'prompt' and 'max_tokens'"};
  const json::object &Members = Body.get_object();
  DraftRequest Request;
  if (const json::value *Prompt = Members.if_contains("prompt")) {
    if (!Prompt->is_string())
      return FaultError{"'prompt': expected a string"};
    Request.m_Prompt = Prompt->get_string().c_str();
  }
  if (!readCount(Members, "max_tokens", Request.m_MaxTokens))
    return FaultError{"'max_tokens': expected a number from 0 to 1000000"};
  if (!readCount(Members, "resume_from", Request.m_ResumeFrom))
    return FaultError{"'resume_from': expected a number from 0 to 1000000"};
  return Request;
}

DraftStream::DraftStream(std::shared_ptr<StandinShared> Shared,
                         std::shared_ptr<HttpExchange> Exchange,
                         DraftRequest Request)
    : StandinWork(std::move(Shared), std::move(Exchange)),
      m_Request(std::move(Request)), m_Next(m_Request.m_ResumeFrom) {}

void DraftStream::run() {
  after(shared().m_Options.m_ServiceTime, [this] { start(); });
}

void DraftStream::clientGone() { finish(); }

void DraftStream::start() {
  if (faults().m_DropAnswer) {
    finish();
    return exchange().abort();
  }
  exchange().startStream(
      {200,
       {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}}});
  if (m_Request.m_ResumeFrom == 0 && !sendPiece(openingEvent()))
    return;
  sendTokens();
}

void DraftStream::sendTokens() {
  const Duration Interval = shared().m_Options.m_TokenInterval;
  const bool Paced = Interval > Duration::zero();
  std::string Piece;
  while (m_Next < m_Request.m_MaxTokens && Piece.size() < PieceBytes) {
    Piece += tokenEvent(m_Next++);
    ++shared().m_Counts.m_TokensGenerated;
    if (Paced)
      break;
  }
  if (!Piece.empty() && !sendPiece(std::move(Piece)))
    return;
  if (m_Next >= m_Request.m_MaxTokens)
    return after(faults().m_Delay, [this] { end(); });
  if (exchange().queuedBytes() < MaxQueuedBytes && (Paced || faults().m_Stall))
    return after(Interval, [this] { sendTokens(); });
  exchange().onDrained([Self = shared_from_this(), this] {
    exchange().onDrained(nullptr);
    after(shared().m_Options.m_TokenInterval, [this] { sendTokens(); });
  });
}

void DraftStream::end() {
  if (!sendPiece(event(DraftDoneData)))
    return;
  ++shared().m_Counts.m_Completed;
  exchange().finishStream();
  finish();
}

std::string DraftStream::openingEvent() {
  const HttpRequest &Request = exchange().request();
  const json::object Body{{"request", headerText(Request, "Mangocart-Request")},
                          {"checksum", checksumText(Request.m_Body)},
                          {"bytes", Request.m_Body.size()},
                          {"tokens", m_Request.m_MaxTokens},
                          {"engine", shared().m_Options.m_Name}};
  return event(json::serialize(Body));
}

std::string DraftStream::tokenEvent(std::uint64_t Index) const {
  return event(draftTokenData(m_Request.m_Prompt, Index));
}

} // namespace mangocart
