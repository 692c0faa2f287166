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
        // The session holds the stream until it is over; one that held itself
        // would outlive it.
        Handlers.m_OnMessage =
            [Handler, Weak = std::weak_ptr(Stream)](std::string_view Request) {
              const auto Stream = Weak.lock();
              if (!Stream)
                return;
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
