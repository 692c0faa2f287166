// The thread that writes departures.
#include "Voter/DepartureStore.h"

#include <chrono>
#include <utility>

namespace mangocart {

DepartureStore::DepartureStore(std::unique_ptr<FileSystem> Files,
                               FatalHandler OnFatal)
    : m_Files(std::move(Files)), m_OnFatal(std::move(OnFatal)) {}

Result<std::unique_ptr<DepartureStore>, StorageError>
DepartureStore::open(std::unique_ptr<FileSystem> Files,
                     DepartureFileOptions Options, FatalHandler OnFatal) {
  std::unique_ptr<DepartureStore> Store(
      new DepartureStore(std::move(Files), std::move(OnFatal)));
  BOOST_OUTCOME_TRY(Store->m_File,
                    DepartureFile::open(*Store->m_Files, std::move(Options)));
  Store->m_Recovered =
      Store->m_File->departures(RuntimeClock::wallMilliseconds());
  Store->m_Thread = std::thread([Raw = Store.get()] { Raw->run(); });
  return Store;
}

DepartureStore::~DepartureStore() {
  {
    const std::lock_guard Lock(m_Mutex);
    m_IsStopping = true;
    m_Condition.notify_one();
  }
  if (m_Thread.joinable())
    m_Thread.join();
}

void DepartureStore::store(const MemberDelta &Departure) {
  const auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(
      Departure.m_HeartbeatAge);
  const std::lock_guard Lock(m_Mutex);
  m_Unwritten.push_back(
      {Departure.m_Member, RuntimeClock::wallMilliseconds() -
                               static_cast<std::uint64_t>(Age.count())});
  m_HasWork = true;
  m_Condition.notify_one();
}

void DepartureStore::whenStored(ConfirmationHandler Done) {
  const std::lock_guard Lock(m_Mutex);
  m_Waiting.push_back(std::move(Done));
  m_HasWork = true;
  m_Condition.notify_one();
}

void DepartureStore::run() {
  std::unique_lock Lock(m_Mutex);
  while (true) {
    m_Condition.wait(Lock, [this] { return m_HasWork || m_IsStopping; });
    if (m_IsStopping)
      return;
    m_HasWork = false;
    std::vector<StoredDeparture> Batch = std::exchange(m_Unwritten, {});
    const std::vector<ConfirmationHandler> Waiting =
        std::exchange(m_Waiting, {});
    Lock.unlock();
    Result<void, FileError> Written = success();
    if (!Batch.empty())
      Written = m_File->append(Batch, RuntimeClock::wallMilliseconds());
    if (!Written && !m_File->isUsable())
      return m_OnFatal(Written.error());
    for (const ConfirmationHandler &Done : Waiting) {
      if (Written)
        Done(success());
      else
        Done("the departure can't be written: " + Written.error().m_Detail);
    }
    Lock.lock();
    if (!Written)
      m_Unwritten.insert(m_Unwritten.begin(), Batch.begin(), Batch.end());
  }
}

} // namespace mangocart
