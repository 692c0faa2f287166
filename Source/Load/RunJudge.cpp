// Judgement by key over all attempts and all runs.
#include "Load/RunJudge.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <fstream>
#include <set>
#include <unordered_map>

namespace mangocart {

namespace json = boost::json;

namespace {

// What the callers of one key were told, all attempts taken together.
struct KeyStory {
  std::string m_Digest;
  std::set<BookingReceipt> m_Receipts;
  bool m_Ran = false;
  bool m_InDoubt = false;
};

void addAttempt(KeyStory &Story, const BookingAttempt &Attempt) {
  const CheckedAnswer &Answer = Attempt.m_Answer;
  Story.m_Digest = Attempt.m_Digest;
  if (Answer.m_Receipt)
    Story.m_Receipts.insert(*Answer.m_Receipt);
  const bool SaidNotRun = Answer.m_Outcome == StatedOutcome::NotRun;
  if (Answer.m_Verdict == Verdict::Ok || Answer.m_Outcome == StatedOutcome::Ran)
    Story.m_Ran = true;
  else if (!SaidNotRun && !Attempt.m_NothingSent)
    Story.m_InDoubt = true;
}

std::map<std::string, KeyStory>
storiesByKey(const std::vector<BookingAttempt> &Attempts) {
  std::map<std::string, KeyStory> Stories;
  for (const BookingAttempt &Attempt : Attempts)
    addAttempt(Stories[Attempt.m_Key], Attempt);
  return Stories;
}

void judgeKey(const std::string &Key, const KeyStory &Story,
              const std::vector<const RunRecord *> &Runs,
              std::vector<BrokenPromise> &Broken) {
  if (Runs.size() > 1)
    Broken.push_back({"at most once", Key,
                      fmt::format("the logs have {} runs", Runs.size())});
  if (Story.m_Ran && Runs.empty())
    Broken.push_back({"ran", Key, "said to have run, but no log has it"});
  if (!Story.m_Ran && !Story.m_InDoubt && !Runs.empty())
    Broken.push_back(
        {"not run", Key, "said not to have run, but a log has it"});
  for (const RunRecord *Run : Runs)
    if (Run->m_Digest != Story.m_Digest)
      Broken.push_back({"own request", Key, "ran with another request's body"});
}

RunRecord parseRun(const json::object &Line) {
  const auto Text = [&](const char *Key) {
    return std::string(json::value_to<std::string>(Line.at(Key)));
  };
  return {Text("key"), Text("customer"), Text("digest"),
          Line.at("serial").to_number<std::uint64_t>()};
}

} // namespace

std::vector<BrokenPromise>
judgeReceipts(const std::vector<BookingAttempt> &Attempts) {
  std::vector<BrokenPromise> Broken;
  for (const auto &[Key, Story] : storiesByKey(Attempts))
    if (Story.m_Receipts.size() > 1)
      Broken.push_back({"at most once", Key,
                        fmt::format("answers tell of {} different runs",
                                    Story.m_Receipts.size())});
  return Broken;
}

std::vector<BrokenPromise>
judgeRuns(const std::vector<BookingAttempt> &Attempts,
          const std::vector<RunRecord> &Runs) {
  std::unordered_map<std::string, std::vector<const RunRecord *>> ByKey;
  for (const RunRecord &Run : Runs)
    ByKey[Run.m_Key].push_back(&Run);
  std::vector<BrokenPromise> Broken;
  for (const auto &[Key, Story] : storiesByKey(Attempts))
    judgeKey(Key, Story, ByKey[Key], Broken);
  return Broken;
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
