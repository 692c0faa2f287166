// The file in which a voter keeps the departures of backend servers that it
// knows. Departures are not in the replicated log, so that a voter that is cut
// off can acknowledge them with the voters it reaches.
#ifndef MANGOCART_VOTER_DEPARTUREFILE_H
#define MANGOCART_VOTER_DEPARTUREFILE_H

#include "Membership/MembershipTable.h"
#include "Raft/FileSystem.h"
#include "Raft/StorageError.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mangocart {

// A record of the file.
struct StoredDeparture {
  // Its state is Leaving or Left; its times are not stored.
  Member m_Member;
  // Wall clock at the heartbeat or call behind it, in Unix milliseconds.
  std::uint64_t m_HeardAtMs = 0;

  bool operator==(const StoredDeparture &) const = default;
};

struct DepartureFileOptions {
  std::string m_Folder;
  // A departure is dropped when the file is next rewritten after this time.
  Duration m_Retention = std::chrono::minutes(10);
  // The file is rewritten without outdated records when it has reached this
  // size and twice its size after the last time.
  std::uint64_t m_MinRewriteBytes = std::uint64_t{256} * 1024;
};

class DepartureFile {
public:
  // Reads the file, if there is one, and writes nothing. The folder must exist
  // and be locked.
  static Result<std::unique_ptr<DepartureFile>, StorageError>
  open(FileSystem &Files, DepartureFileOptions Options);

  // Departures in the file that are not outdated, the last one of each backend
  // server.
  std::vector<StoredDeparture> departures(std::uint64_t NowMs) const;
  // Returns when all of them are durable. After an error the call may be
  // repeated, unless isUsable() is false.
  Result<void, FileError> append(const std::vector<StoredDeparture> &Batch,
                                 std::uint64_t NowMs);
  // False after a failed sync: the content of the disk is unknown.
  bool isUsable() const { return m_IsUsable; }

private:
  DepartureFile(FileSystem &Files, DepartureFileOptions Options);

  Result<void, StorageError> load();
  bool isOutdated(const StoredDeparture &Departure, std::uint64_t NowMs) const;
  Result<void, FileError> appendRecord(const std::string &Record);
  Result<void, FileError> rewrite(const std::vector<StoredDeparture> &Batch,
                                  std::uint64_t NowMs);

  FileSystem &m_Files;
  const DepartureFileOptions m_Options;
  const std::string m_Path;
  // By name of the backend server; all are in the file.
  std::map<std::string, StoredDeparture> m_Departures;
  // Size of the complete records.
  std::uint64_t m_Size = 0;
  // The same at the start, or when a rewrite was last tried.
  std::uint64_t m_RewrittenSize = 0;
  bool m_IsNameDurable = false;
  // An incomplete record may follow the complete ones.
  bool m_IsTorn = false;
  bool m_IsUsable = true;
};

} // namespace mangocart

#endif
