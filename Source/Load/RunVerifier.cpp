// Verifies all attempts and runs, grouped by key.
#include "Load/RunVerifier.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <fstream>
#include <set>
#include <unordered_map>

namespace mangocart {

namespace json = boost::json;

namespace {

// Combined results of all attempts with one key.
struct KeyHistory {
  std::string m_Digest;
  std::set<BookingReceipt> m_Receipts;
  bool m_Ran = false;
  bool m_MayHaveRun = false;
};

void addAttempt(KeyHistory &History, const BookingAttempt &Attempt) {
  const CheckedResponse &Response = Attempt.m_Response;
  History.m_Digest = Attempt.m_Digest;
  if (Response.m_Receipt)
    History.m_Receipts.insert(*Response.m_Receipt);
  const bool ReportedNotRun = Response.m_Outcome == ReportedOutcome::NotRun;
  if (Response.m_Result == CheckResult::Ok ||
      Response.m_Outcome == ReportedOutcome::Ran)
    History.m_Ran = true;
  else if (!ReportedNotRun && !Attempt.m_NothingSent)
    History.m_MayHaveRun = true;
}

std::map<std::string, KeyHistory>
historiesByKey(const std::vector<BookingAttempt> &Attempts) {
  std::map<std::string, KeyHistory> Histories;
  for (const BookingAttempt &Attempt : Attempts)
    addAttempt(Histories[Attempt.m_Key], Attempt);
  return Histories;
}

void verifyKey(const std::string &Key, const KeyHistory &History,
               const std::vector<const RunRecord *> &Runs,
               std::vector<Violation> &Violations) {
  if (Runs.size() > 1)
    Violations.push_back(
        {"at most once", Key,
         fmt::format("the logs contain {} runs", Runs.size())});
  if (History.m_Ran && Runs.empty())
    Violations.push_back(
        {"ran", Key, "reported as run, but no log contains it"});
  if (!History.m_Ran && !History.m_MayHaveRun && !Runs.empty())
    Violations.push_back(
        {"not run", Key, "reported as not run, but a log contains it"});
  for (const RunRecord *Run : Runs)
    if (Run->m_Digest != History.m_Digest)
      Violations.push_back(
          {"own request", Key, "ran with the body of another request"});
}

RunRecord parseRun(const json::object &Line) {
  const auto Text = [&](const char *Key) {
    return std::string(json::value_to<std::string>(Line.at(Key)));
  };
  return {Text("key"), Text("customer"), Text("digest"),
          Line.at("serial").to_number<std::uint64_t>()};
}

} // namespace

std::vector<Violation>
verifyReceipts(const std::vector<BookingAttempt> &Attempts) {
  std::vector<Violation> Violations;
  for (const auto &[Key, History] : historiesByKey(Attempts))
    if (History.m_Receipts.size() > 1)
      Violations.push_back({"at most once", Key,
                            fmt::format("responses report {} different runs",
                                        History.m_Receipts.size())});
  return Violations;
}

std::vector<Violation> verifyRuns(const std::vector<BookingAttempt> &Attempts,
                                  const std::vector<RunRecord> &Runs) {
  std::unordered_map<std::string, std::vector<const RunRecord *>> ByKey;
  for (const RunRecord &Run : Runs)
    ByKey[Run.m_Key].push_back(&Run);
  std::vector<Violation> Violations;
  for (const auto &[Key, History] : historiesByKey(Attempts))
    verifyKey(Key, History, ByKey[Key], Violations);
  return Violations;
}

Result<std::vector<RunRecord>, RunLogError>
readRunLog(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return RunLogError{"cannot read the run log " + Path};
  std::vector<RunRecord> Runs;
  std::size_t Number = 0;
  for (std::string Line; std::getline(File, Line);) {
    ++Number;
    try {
      Runs.push_back(parseRun(json::parse(Line).as_object()));
    } catch (const std::exception &) {
      return RunLogError{fmt::format(
          "{}:{}: expected a JSON object with key, customer, digest and serial",
          Path, Number)};
    }
  }
  return Runs;
}

} // namespace mangocart
