// One request that the stand-in works on: waits for a slot, passes the stages
// of its kind with the faults that hold for it, and gives its slot back.
#ifndef MANGOCART_STANDIN_STANDINWORK_H
#define MANGOCART_STANDIN_STANDINWORK_H

#include "Core/Timer.h"
#include "Standin/StandinShared.h"

#include <optional>

namespace mangocart {

class StandinWork : public std::enable_shared_from_this<StandinWork> {
public:
  StandinWork(std::shared_ptr<StandinShared> Shared,
              std::shared_ptr<HttpExchange> Exchange);
  virtual ~StandinWork() = default;
  StandinWork(const StandinWork &) = delete;
  StandinWork &operator=(const StandinWork &) = delete;

  // Refuses, or waits for a slot and then runs.
  void begin();

protected:
  // Called once the slot is held.
  virtual void run() = 0;
  // The client went away. The slot is still held if running() is true.
  virtual void clientGone() = 0;

  // Calls Next after a time, scaled by the faults, and not while they stall.
  void after(Duration Time, std::function<void()> Next);
  // Sends as much of a body piece as the faults allow. False once the answer
  // has been cut; the work is over then.
  bool sendPiece(std::string Piece);
  // Gives the slot back; call once the work is over.
  void finish();
  bool running() const { return m_HoldsSlot; }

  StandinShared &shared() { return *m_Shared; }
  HttpExchange &exchange() { return *m_Exchange; }
  const Faults &faults() const { return m_Faults.now(); }

private:
  void onClientGone();

  std::shared_ptr<StandinShared> m_Shared;
  std::shared_ptr<HttpExchange> m_Exchange;
  RequestFaults m_Faults;
  Timer m_Timer;
  std::optional<SlotQueue::Ticket> m_Place;
  std::uint64_t m_BytesSent = 0;
  bool m_HoldsSlot = false;
  bool m_Finished = false;
};

} // namespace mangocart

#endif
