// Settles claims whose entry has failed.
#include "Entry/OrphanSettler.h"

#include "Core/WorkerPool.h"
#include "Entry/EntryContext.h"
#include "Entry/SettlementDriver.h"
#include "Raft/RaftRunner.h"
#include "State/DeploymentMachine.h"

#include <boost/asio/post.hpp>

namespace mangocart {

namespace {
constexpr Duration ScanInterval = std::chrono::seconds(1);
} // namespace

OrphanSettler::OrphanSettler(EntryContext &Context, const RaftRunner &Log,
                             DeploymentMachine &Machine)
    : m_Context(Context), m_Log(Log), m_Machine(Machine),
      m_Timer(Context.m_Workers.worker(0)) {}

void OrphanSettler::start() {
  boost::asio::post(m_Timer.get_executor(),
                    [Self = shared_from_this()] { Self->tick(); });
}

void OrphanSettler::tick() {
  if (m_Log.isLeader())
    scan();
  else
    stopSettling(m_Settler);
  m_Timer.expires_after(ScanInterval);
  m_Timer.async_wait(
      [Self = shared_from_this()](boost::system::error_code Error) {
        if (!Error)
          Self->tick();
      });
}

void OrphanSettler::scan() {
  const auto Grace = std::chrono::duration_cast<std::chrono::milliseconds>(
      m_Settler.m_Limits.m_Grace);
  const std::vector<OpenClaim> Overdue = m_Machine.overdue(
      m_Machine.commandTimeMs(m_Log.status().m_Term),
      static_cast<std::uint64_t>(Grace.count()),
      m_Settler.m_Limits.m_MaxAtOnce + m_Settler.m_Active.size());
  for (const SettlerWork &Work :
       takeUp(m_Settler, Overdue, RuntimeClock::now()))
    settle(Work);
}

void OrphanSettler::settle(const SettlerWork &Work) {
  const auto Self = shared_from_this();
  const std::uint64_t Claim = Work.m_ClaimNumber;
  SettlementDriver::drive(
      m_Context, m_Timer.get_executor(),
      [Self, Claim](const SettlementEvent &Event) {
        return step(Self->m_Settler, Claim, Event, RuntimeClock::now());
      },
      [Self, Claim]() -> const Settlement * {
        const auto Found = Self->m_Settler.m_Active.find(Claim);
        return Found == Self->m_Settler.m_Active.end() ? nullptr
                                                       : &Found->second;
      },
      Work.m_Effects);
}

} // namespace mangocart
