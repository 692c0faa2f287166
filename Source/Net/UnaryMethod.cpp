// One message in, one message out.
#include "Net/UnaryMethod.h"

namespace mangocart {

void addAsyncMethod(
    PeerServer &Server, std::string Method,
    std::function<bool(std::string_view Request, UnaryAnswer Answer)> Handler) {
  Server.addMethod(
      std::move(Method), [Handler = std::move(Handler)](
                             const std::shared_ptr<PeerStream> &Stream) {
        PeerStreamHandlers Handlers;
        Handlers.m_OnMessage = [Handler, Stream](std::string_view Request) {
          const bool Valid =
              Handler(Request, [Stream](const std::string &Reply) {
                Stream->send(Reply);
                Stream->finish();
              });
          if (!Valid)
            Stream->reset();
        };
        Stream->setHandlers(std::move(Handlers));
      });
}

} // namespace mangocart
