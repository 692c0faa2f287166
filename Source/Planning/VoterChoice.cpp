// Candidates in the order in which they get a vote; the first ones vote.
#include "Planning/VoterChoice.h"

#include "Configuration.pb.h"
#include "Questionnaire.pb.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <vector>

namespace mangocart {

namespace {

constexpr std::size_t VotersToday = 3;
constexpr std::size_t MaxVoters = 5;

struct Candidate {
  std::string m_Name;
  std::string m_Zone;
  std::string m_Region;
  bool m_VotesNow = false;
  // How many candidates of its zone, and zones of its region, come before.
  std::size_t m_RankInZone = 0;
  std::size_t m_ZoneRankInRegion = 0;
};

bool votesNow(const schema::Configuration &Present, const std::string &Name) {
  const auto &Vms = Present.entry_vms();
  return std::any_of(Vms.begin(), Vms.end(), [&](const schema::EntryVm &Vm) {
    return Vm.name() == Name && Vm.voter();
  });
}

std::string regionOf(const schema::Questionnaire &Answers,
                     const std::string &Zone) {
  for (const auto &Answer : Answers.availability_zones())
    if (Answer.name() == Zone)
      return Answer.region();
  return {};
}

// Those that vote now come first, else the order of the answers.
std::vector<Candidate> candidates(const schema::Questionnaire &Answers,
                                  const schema::Configuration &Present) {
  std::vector<Candidate> All;
  for (const schema::EntryVmAnswer &Vm : Answers.entry_vms())
    if (Vm.has_disk())
      All.push_back({Vm.name(), Vm.availability_zone(),
                     regionOf(Answers, Vm.availability_zone()),
                     votesNow(Present, Vm.name())});
  std::stable_partition(All.begin(), All.end(),
                        [](const Candidate &C) { return C.m_VotesNow; });
  return All;
}

// Returns the number of zones that have a candidate.
std::size_t rank(std::vector<Candidate> &All) {
  std::map<std::string, std::size_t> InZone;
  std::map<std::string, std::size_t> ZonesInRegion;
  std::map<std::string, std::size_t> ZoneRank;
  for (Candidate &C : All) {
    C.m_RankInZone = InZone[C.m_Zone]++;
    if (C.m_RankInZone == 0)
      ZoneRank[C.m_Zone] = ZonesInRegion[C.m_Region]++;
    C.m_ZoneRankInRegion = ZoneRank[C.m_Zone];
  }
  return InZone.size();
}

std::size_t voterCount(std::size_t Candidates, std::size_t Zones) {
  if (Zones >= MaxVoters)
    return MaxVoters;
  return Candidates >= VotersToday ? VotersToday
                                   : std::min<std::size_t>(Candidates, 1);
}

} // namespace

std::set<std::string> chooseVoters(const schema::Questionnaire &Answers,
                                   const schema::Configuration &Present) {
  std::vector<Candidate> All = candidates(Answers, Present);
  const std::size_t Zones = rank(All);
  std::stable_sort(All.begin(), All.end(),
                   [](const Candidate &A, const Candidate &B) {
                     return std::tuple(A.m_RankInZone, A.m_ZoneRankInRegion) <
                            std::tuple(B.m_RankInZone, B.m_ZoneRankInRegion);
                   });
  std::set<std::string> Voters;
  for (std::size_t I = 0; I < voterCount(All.size(), Zones); ++I)
    Voters.insert(All[I].m_Name);
  return Voters;
}

} // namespace mangocart
