// Reading, appending and rewriting of the file. Everything that one sync covers
// is one record, so that only the last record can be incomplete.
#include "Voter/DepartureFile.h"

#include "Departures.pb.h"
#include "Raft/RecordFile.h"

#include <algorithm>
#include <utility>

namespace mangocart {

namespace {

constexpr const char *FileName = "departures";
constexpr const char *TemporaryName = "departures.tmp";

std::string encode(const std::vector<StoredDeparture> &Departures) {
  schema::DepartureBatch Batch;
  for (const StoredDeparture &Each : Departures) {
    schema::StoredDeparture &To = *Batch.add_departures();
    // Times relative to this process say nothing after its end.
    memberToSchema(Each.m_Member, TimePoint(), *To.mutable_announcement());
    To.mutable_announcement()->clear_report_age_ms();
    To.mutable_announcement()->clear_cold_remaining_ms();
    To.set_heard_at_ms(Each.m_HeardAtMs);
  }
  return Batch.SerializeAsString();
}

} // namespace

DepartureFile::DepartureFile(FileSystem &Files, DepartureFileOptions Options)
    : m_Files(Files), m_Options(std::move(Options)),
      m_Path(m_Options.m_Folder + "/" + FileName) {}

Result<std::unique_ptr<DepartureFile>, StorageError>
DepartureFile::open(FileSystem &Files, DepartureFileOptions Options) {
  std::unique_ptr<DepartureFile> File(
      new DepartureFile(Files, std::move(Options)));
  BOOST_OUTCOME_TRYV(File->load());
  return File;
}

Result<void, StorageError> DepartureFile::load() {
  BOOST_OUTCOME_TRY(const auto Names,
                    translate(m_Files.list(m_Options.m_Folder)));
  if (std::find(Names.begin(), Names.end(), FileName) == Names.end())
    return success();
  BOOST_OUTCOME_TRY(const auto Bytes, translate(m_Files.read(m_Path)));
  const RecordScan Scan = scanRecords(Bytes);
  if (Scan.m_Corrupt)
    return corruptionError(m_Path, Scan.m_End,
                           "the file is damaged before its end");
  for (const std::string_view Payload : Scan.m_Payloads) {
    schema::DepartureBatch Batch;
    if (!Batch.ParseFromArray(Payload.data(), static_cast<int>(Payload.size())))
      return corruptionError(m_Path, 0, "the file holds an unknown record");
    for (const schema::StoredDeparture &Each : Batch.departures())
      m_Departures[Each.announcement().backend_server()] = {
          memberFromSchema(Each.announcement(), Duration::zero(), TimePoint()),
          Each.heard_at_ms()};
  }
  // Removed by the next write: a full disk must not prevent the start.
  m_IsTorn = Scan.m_Torn;
  m_Size = m_RewrittenSize = Scan.m_End;
  return success();
}

bool DepartureFile::isOutdated(const StoredDeparture &Departure,
                               std::uint64_t NowMs) const {
  const auto Retention = std::chrono::duration_cast<std::chrono::milliseconds>(
      m_Options.m_Retention);
  return NowMs >
         Departure.m_HeardAtMs + static_cast<std::uint64_t>(Retention.count());
}

std::vector<StoredDeparture>
DepartureFile::departures(std::uint64_t NowMs) const {
  std::vector<StoredDeparture> Kept;
  for (const auto &[Name, Each] : m_Departures)
    if (!isOutdated(Each, NowMs))
      Kept.push_back(Each);
  return Kept;
}

Result<void, FileError>
DepartureFile::append(const std::vector<StoredDeparture> &Batch,
                      std::uint64_t NowMs) {
  const std::string Record = encodeRecord(encode(Batch));
  const bool IsLarge = m_Size + Record.size() >= m_Options.m_MinRewriteBytes &&
                       m_Size >= 2 * m_RewrittenSize;
  // A rewrite needs space for both files; without it the file only grows.
  if (!IsLarge || !rewrite(Batch, NowMs)) {
    if (!m_IsUsable)
      return FileError{"rewrite", m_Path, "the disk has failed"};
    BOOST_OUTCOME_TRYV(appendRecord(Record));
  }
  for (const StoredDeparture &Each : Batch)
    m_Departures[Each.m_Member.m_BackendServer] = Each;
  return success();
}

Result<void, FileError> DepartureFile::appendRecord(const std::string &Record) {
  // What follows an incomplete record could not be read.
  if (m_IsTorn) {
    BOOST_OUTCOME_TRYV(m_Files.truncate(m_Path, m_Size));
  }
  m_IsTorn = true;
  BOOST_OUTCOME_TRYV(m_Files.append(m_Path, Record));
  auto Done = m_Files.syncFile(m_Path);
  if (Done && !m_IsNameDurable)
    Done = m_Files.syncFolder(m_Options.m_Folder);
  // After a failed sync nobody knows what is on the disk.
  m_IsUsable = Done.has_value();
  if (Done) {
    m_IsNameDurable = true;
    m_IsTorn = false;
    m_Size += Record.size();
  }
  return Done;
}

Result<void, FileError>
DepartureFile::rewrite(const std::vector<StoredDeparture> &Batch,
                       std::uint64_t NowMs) {
  std::erase_if(m_Departures, [&](const auto &Each) {
    return isOutdated(Each.second, NowMs);
  });
  std::vector<StoredDeparture> All = departures(NowMs);
  All.insert(All.end(), Batch.begin(), Batch.end());
  const std::string Payload = encode(All);
  // Another attempt only after the file has grown further.
  m_RewrittenSize = m_Size;
  const std::string Temporary = m_Options.m_Folder + "/" + TemporaryName;
  BOOST_OUTCOME_TRYV(writeRecordFile(m_Files, Temporary, {Payload}));
  BOOST_OUTCOME_TRYV(m_Files.rename(Temporary, m_Path));
  auto Done = m_Files.syncFolder(m_Options.m_Folder);
  // Either file may be the one that is found after a loss of power.
  m_IsUsable = Done.has_value();
  if (Done) {
    m_IsNameDurable = true;
    m_IsTorn = false;
    m_Size = m_RewrittenSize =
        encodeRecordHeader({Payload}).size() + Payload.size();
  }
  return Done;
}

} // namespace mangocart
