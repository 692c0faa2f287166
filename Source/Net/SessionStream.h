// A stream of a PeerSession. Calls from any thread go into an outbox and are
// carried out on the session's worker, several calls in one turn.
#ifndef MANGOCART_NET_SESSIONSTREAM_H
#define MANGOCART_NET_SESSIONSTREAM_H

#include "Net/MessageFramer.h"
#include "Net/PeerStream.h"

#include <atomic>
#include <mutex>

namespace mangocart {

class PeerSession;

class SessionStream : public PeerStream,
                      public std::enable_shared_from_this<SessionStream> {
public:
  explicit SessionStream(boost::asio::any_io_executor Executor);

  boost::asio::any_io_executor executor() override { return m_Executor; }
  void setHandlers(PeerStreamHandlers Handlers) override;
  void send(std::string Message) override;
  void finish() override;
  void reset() override;
  std::size_t queuedBytes() const override;
  void onDrained(std::function<void()> Handler) override;
  void pauseReading() override;
  void resumeReading() override;

  // ---- For PeerSession and PeerClient, on the worker.

  // Ties the stream to its connection; what was sent before goes out now.
  void attach(std::shared_ptr<PeerSession> Session);
  // Copies up to Capacity bytes of what waits; sets Ended when there will be no
  // more. Zero bytes without Ended means: nothing now.
  std::size_t takeData(char *Buffer, std::size_t Capacity, bool &Ended);
  // False when the bytes are no valid frame.
  bool receive(std::string_view Bytes);
  // Bytes that wait for the rest of their message.
  std::size_t heldBytes() const { return m_Framer.heldBytes(); }
  void remoteEnded();
  void fail(PeerError Error);
  void closed(bool Cleanly);

  std::int32_t m_Id = 0;
  // Set when the request's first frame went to the socket.
  bool m_HeadersSent = false;
  bool m_ResponseSubmitted = false;
  bool m_UnknownMethod = false;

private:
  // What other threads asked for; guarded by m_Mutex.
  struct Outbox {
    std::string m_Frames;
    bool m_Finish = false;
    bool m_Reset = false;
    bool m_Resume = false;
    bool m_Posted = false;
  };

  void post(std::unique_lock<std::mutex> Lock);
  void drainOutbox();
  void dropReferences();

  const boost::asio::any_io_executor m_Executor;
  std::mutex m_Mutex;
  Outbox m_Outbox;
  std::atomic<std::size_t> m_QueuedBytes{0};
  std::atomic<bool> m_ReadingPaused{false};

  // Below: only on the worker.
  std::shared_ptr<PeerSession> m_Session;
  PeerStreamHandlers m_Handlers;
  std::function<void()> m_OnDrained;
  MessageFramer m_Framer;
  // Frames from m_SendOffset on are not sent yet.
  std::string m_SendBuffer;
  std::size_t m_SendOffset = 0;
  std::size_t m_UnconsumedBytes = 0;
  bool m_LocalEnded = false;
  bool m_RemoteEnded = false;
  // Set once the stream is over; no handler is called after that.
  bool m_Over = false;
};

} // namespace mangocart

#endif
