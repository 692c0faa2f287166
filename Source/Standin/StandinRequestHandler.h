// Base class for handling one request: waits for a slot, processes the request
// subject to the faults that apply to it, and releases the slot.
#ifndef MANGOCART_STANDIN_STANDINREQUESTHANDLER_H
#define MANGOCART_STANDIN_STANDINREQUESTHANDLER_H

#include "Core/Timer.h"
#include "Standin/StandinContext.h"

#include <optional>

namespace mangocart {

class StandinRequestHandler
    : public std::enable_shared_from_this<StandinRequestHandler> {
public:
  StandinRequestHandler(std::shared_ptr<StandinContext> Context,
                        std::shared_ptr<HttpExchange> Exchange);
  virtual ~StandinRequestHandler() = default;
  StandinRequestHandler(const StandinRequestHandler &) = delete;
  StandinRequestHandler &operator=(const StandinRequestHandler &) = delete;

  // Rejects the request if a fault requires it; otherwise waits for a slot and
  // calls run().
  void begin();

protected:
  // Called when the slot is acquired.
  virtual void run() = 0;
  // Called when the client disconnects. The slot is still held if holdsSlot()
  // is true.
  virtual void clientDisconnected() = 0;

  // Calls Next after a delay, which is scaled by m_SlowFactor; a stall fault
  // postpones the call.
  void scheduleAfter(Duration Time, std::function<void()> Next);
  // Sends as much of a body chunk as m_CutAfterBytes allows. Returns false once
  // the response was truncated; the request is finished then.
  bool sendChunk(std::string Chunk);
  // Releases the slot; must be called when the request is finished.
  void finish();
  bool holdsSlot() const { return m_HoldsSlot; }

  StandinContext &context() { return *m_Context; }
  HttpExchange &exchange() { return *m_Exchange; }
  const Faults &faults() const { return m_Faults.current(); }

private:
  void onClientDisconnected();

  std::shared_ptr<StandinContext> m_Context;
  std::shared_ptr<HttpExchange> m_Exchange;
  RequestFaults m_Faults;
  Timer m_Timer;
  std::optional<SlotQueue::Ticket> m_Ticket;
  std::uint64_t m_BytesSent = 0;
  bool m_HoldsSlot = false;
  bool m_Finished = false;
};

} // namespace mangocart

#endif
