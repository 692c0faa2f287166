// A draft: streams tokens as server-sent events, as a model engine does.
#ifndef MANGOCART_STANDIN_DRAFTSTREAM_H
#define MANGOCART_STANDIN_DRAFTSTREAM_H

#include "Standin/StandinWork.h"

namespace mangocart {

// What the body of a draft request asks for.
struct DraftRequest {
  std::string m_Prompt;
  std::uint64_t m_MaxTokens = 16;
  // Index of the first token to send; the event that opens an answer is sent
  // with token 0 only.
  std::uint64_t m_ResumeFrom = 0;

  bool operator==(const DraftRequest &) const = default;
};

Result<DraftRequest, FaultError> parseDraftRequest(std::string_view Json);

class DraftStream : public StandinWork {
public:
  DraftStream(std::shared_ptr<StandinShared> Shared,
              std::shared_ptr<HttpExchange> Exchange, DraftRequest Request);

private:
  void run() override;
  void clientGone() override;

  void start();
  // Sends tokens until the next one is due or the client must catch up.
  void sendTokens();
  void end();
  std::string openingEvent();
  std::string tokenEvent(std::uint64_t Index) const;

  DraftRequest m_Request;
  std::uint64_t m_Next;
};

} // namespace mangocart

#endif
