// Public interface of the control thread.
#include "Raft/RaftRunner.h"

#include "Raft/FileSystem.h"
#include "Raft/RaftControl.h"
#include "Raft/StateMachine.h"

#include <utility>

namespace mangocart {

RaftRunner::RaftRunner(std::shared_ptr<RaftControl> Control)
    : m_Control(std::move(Control)) {}

Result<std::unique_ptr<RaftRunner>, StorageError>
RaftRunner::start(RaftRunnerOptions Options, StateMachine &Machine,
                  WorkerPool &Workers, PeerClient &Client, PeerServer &Server,
                  FatalHandler OnFatal, EventLog *Events) {
  auto Control =
      std::make_shared<RaftControl>(std::move(Options), Machine, Workers,
                                    Client, Server, std::move(OnFatal), Events);
  BOOST_OUTCOME_TRYV(Control->openStorage());
  Control->serve(Server);
  Control->start();
  return std::unique_ptr<RaftRunner>(new RaftRunner(std::move(Control)));
}

RaftRunner::~RaftRunner() { m_Control->stop(); }

void RaftRunner::propose(schema::Command Command, Duration Timeout,
                         ProposeHandler Done) {
  m_Control->submit({std::move(Command),
                     RuntimeClock::now() + Timeout,
                     std::move(Done),
                     false,
                     {}});
}

void RaftRunner::prepareStop(std::function<void()> OnMayStop) {
  m_Control->prepareStop(std::move(OnMayStop));
}

std::string RaftRunner::leader() const { return m_Control->leader(); }

bool RaftRunner::leaseHeld() const { return m_Control->leaseHeld(); }

RaftStatus RaftRunner::status() const { return m_Control->status(); }

RaftCounters RaftRunner::counters() const { return m_Control->counters(); }

} // namespace mangocart
