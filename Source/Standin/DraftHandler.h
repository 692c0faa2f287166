// Handles a draft request: streams tokens as server-sent events, as a model
// engine does.
#ifndef MANGOCART_STANDIN_DRAFTHANDLER_H
#define MANGOCART_STANDIN_DRAFTHANDLER_H

#include "Standin/StandinRequestHandler.h"

namespace mangocart {

// Parsed body of a draft request.
struct DraftRequest {
  std::string m_Prompt;
  std::uint64_t m_MaxTokens = 16;
  // Index of the first token to send. The opening event is sent only if this is
  // 0.
  std::uint64_t m_ResumeFrom = 0;

  bool operator==(const DraftRequest &) const = default;
};

Result<DraftRequest, InvalidBodyError> parseDraftRequest(std::string_view Json);

class DraftHandler : public StandinRequestHandler {
public:
  DraftHandler(std::shared_ptr<StandinContext> Context,
               std::shared_ptr<HttpExchange> Exchange, DraftRequest Request);

private:
  void run() override;
  void clientDisconnected() override;

  void startResponse();
  // Sends tokens until the token interval or backpressure from the client
  // requires a wait.
  void sendTokens();
  void finishResponse();
  std::string openingEvent();
  std::string tokenEvent(std::uint64_t Index) const;

  DraftRequest m_Request;
  std::uint64_t m_NextToken;
};

} // namespace mangocart

#endif
