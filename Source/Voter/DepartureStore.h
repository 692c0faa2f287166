// Writes departures of backend servers to the voter's disk on a thread of its
// own, so that a disk that stalls holds up no other work. One sync covers all
// departures that wait.
#ifndef MANGOCART_VOTER_DEPARTURESTORE_H
#define MANGOCART_VOTER_DEPARTURESTORE_H

#include "Voter/ChangeConfirmation.h"
#include "Voter/DepartureFile.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace mangocart {

// All functions may be called from any thread.
class DepartureStore {
public:
  // Called on the store's thread, which then stops working. The process must
  // exit, because the content of the disk is unknown.
  using FatalHandler = std::function<void(const FileError &)>;

  // Reads the file and starts the thread.
  static Result<std::unique_ptr<DepartureStore>, StorageError>
  open(std::unique_ptr<FileSystem> Files, DepartureFileOptions Options,
       FatalHandler OnFatal);
  // Waits for a write in progress; handlers that wait are not called.
  ~DepartureStore();
  DepartureStore(const DepartureStore &) = delete;
  DepartureStore &operator=(const DepartureStore &) = delete;

  // Departures that were in the file when it was opened.
  const std::vector<StoredDeparture> &recovered() const { return m_Recovered; }
  void store(const MemberDelta &Departure);
  // Calls Done on the store's thread once all departures passed to store()
  // before are durable, or if they can't be written now. They are written by a
  // later call then.
  void whenStored(ConfirmationHandler Done);

private:
  DepartureStore(std::unique_ptr<FileSystem> Files, FatalHandler OnFatal);

  void run();

  const std::unique_ptr<FileSystem> m_Files;
  const FatalHandler m_OnFatal;
  std::vector<StoredDeparture> m_Recovered;
  // Used on the thread only once it is running.
  std::unique_ptr<DepartureFile> m_File;

  std::mutex m_Mutex;
  std::condition_variable m_Condition;
  // Guarded by m_Mutex.
  std::vector<StoredDeparture> m_Unwritten;
  std::vector<ConfirmationHandler> m_Waiting;
  bool m_HasWork = false;
  bool m_IsStopping = false;

  std::thread m_Thread;
};

} // namespace mangocart

#endif
