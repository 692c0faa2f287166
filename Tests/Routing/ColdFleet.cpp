// Time steps, updates of voters, requests and answers.
#include "ColdFleet.h"

#include <fmt/format.h>

#include <algorithm>

namespace mangocart {

using namespace std::chrono_literals;

namespace {

constexpr Duration UpdateInterval = 500ms;
// As in VoterWatch.
constexpr Duration UpdateTimeout = 2s;

} // namespace

ColdFleet::ColdFleet(const ColdFleetOptions &Options)
    : m_Options(Options), m_Random(Options.m_Seed) {
  for (std::size_t I = 0; I < Options.m_Servers; ++I)
    m_Servers.push_back({fmt::format("engine-{}", I), {}, {}, {}});
  for (std::size_t I = 0; I < Options.m_Gateways; ++I)
    add();
}

void ColdFleet::add() {
  Gateway New;
  New.m_Name = fmt::format("10.0.0.{}:7340", m_Gateways.size());
  for (std::size_t V = 0; V < Voters; ++V)
    New.m_Voters.insert(V);
  begin(New);
  m_Gateways.push_back(std::move(New));
  m_Process.push_back(0);
}

void ColdFleet::begin(Gateway &New) {
  New.m_Cold = {};
  New.m_Cold.m_Options.m_BurstFactor = m_Options.m_BurstFactor;
  New.m_Cold.m_Options.m_BurstSlack = m_Options.m_BurstSlack;
  New.m_Cold.m_Rates["llm"] = m_Options.m_Rate;
  New.m_Heard.clear();
  New.m_AnnouncedUntil.assign(m_Servers.size(), TimePoint());
  // The first updates hold the announcements too.
  if (m_Options.m_IsAnnounced && !New.m_Voters.empty())
    for (std::size_t S = 0; S < m_Servers.size(); ++S)
      New.m_AnnouncedUntil[S] = m_Servers[S].m_ColdUntil;
}

Duration ColdFleet::randomMs(std::uint64_t Least, std::uint64_t Most) {
  return std::chrono::milliseconds(uniform(m_Random, Least, Most));
}

void ColdFleet::after(Duration Wait, std::function<void()> Task) {
  m_Tasks.emplace(m_Now + Wait, std::move(Task));
}

std::function<void()> ColdFleet::forProcess(std::size_t Gateway,
                                            std::function<void()> Task) {
  return [this, Gateway, Process = m_Process[Gateway], Task = std::move(Task)] {
    if (m_Process[Gateway] == Process &&
        m_Gateways[Gateway].m_StartsAt <= m_Now)
      Task();
  };
}

void ColdFleet::becomeCold(std::size_t Server, Duration For) {
  m_Servers[Server].m_ColdSince = m_Now;
  m_Servers[Server].m_ColdUntil = m_Now + For;
  if (!m_Options.m_IsAnnounced)
    return;
  for (std::size_t G = 0; G < m_Gateways.size(); ++G)
    after(randomMs(5, 500),
          forProcess(G, [this, G, Server, Until = m_Now + For] {
            if (!m_Gateways[G].m_Voters.empty())
              m_Gateways[G].m_AnnouncedUntil[Server] = Until;
          }));
}

void ColdFleet::restart(std::size_t Gateway, Duration Down) {
  ++m_Process[Gateway];
  m_Gateways[Gateway].m_StartsAt = m_Now + Down;
  begin(m_Gateways[Gateway]);
}

void ColdFleet::connect(std::size_t Gateway, std::set<std::size_t> Voters) {
  m_Gateways[Gateway].m_Voters = std::move(Voters);
}

void ColdFleet::connectAll(std::size_t Gateway) {
  for (std::size_t V = 0; V < Voters; ++V)
    m_Gateways[Gateway].m_Voters.insert(V);
}

void ColdFleet::sendUpdates() {
  for (std::size_t V = 0; V < Voters; ++V) {
    std::vector<std::string> Names;
    for (const Gateway &Each : m_Gateways)
      if (Each.m_Voters.contains(V) && Each.m_StartsAt <= m_Now)
        Names.push_back(Each.m_Name);
    for (std::size_t G = 0; G < m_Gateways.size(); ++G)
      if (m_Gateways[G].m_Voters.contains(V) &&
          m_Gateways[G].m_StartsAt <= m_Now)
        after(randomMs(0, 250),
              forProcess(G, [this, G, V, Names] { receive(G, V, Names); }));
  }
}

void ColdFleet::receive(std::size_t Gateway, std::size_t Voter,
                        std::vector<std::string> Names) {
  auto &Own = m_Gateways[Gateway];
  Own.m_Heard[Voter] = {std::move(Names), m_Now};
  GatewayList List;
  List.m_Self = Own.m_Name;
  std::set<std::string> All;
  std::size_t Connected = 0;
  for (const auto &[From, Each] : Own.m_Heard) {
    if (m_Now - Each.m_At > UpdateTimeout)
      continue;
    ++Connected;
    All.insert(Each.m_Names.begin(), Each.m_Names.end());
  }
  List.m_All.assign(All.begin(), All.end());
  updateGateways(Own.m_Cold, List, Connected * 2 > Voters, m_Now);
}

void ColdFleet::send(std::size_t Gateway, std::size_t Server) {
  recordColdSent(m_Gateways[Gateway].m_Cold, m_Servers[Server].m_Name, "llm",
                 m_Now);
  after(randomMs(0, 15), [this, Gateway, Server, SentAt = m_Now] {
    arrive(Gateway, Server, SentAt);
  });
}

void ColdFleet::arrive(std::size_t Gateway, std::size_t Server,
                       TimePoint SentAt) {
  mangocart::ColdFleet::Server &To = m_Servers[Server];
  const Duration Remaining = std::max(Duration::zero(), To.m_ColdUntil - m_Now);
  if (Remaining > Duration::zero())
    To.m_Arrivals.push_back(m_Now);
  after(randomMs(20, 400),
        forProcess(Gateway, [this, Gateway, Server, SentAt, Remaining] {
          recordColdAnswer(m_Gateways[Gateway].m_Cold, m_Servers[Server].m_Name,
                           Remaining, SentAt, m_Now);
        }));
}

void ColdFleet::run(Duration For) {
  for (const TimePoint End = m_Now + For; m_Now < End; m_Now += Step) {
    if (m_Now.time_since_epoch() % UpdateInterval == Duration::zero())
      sendUpdates();
    while (!m_Tasks.empty() && m_Tasks.begin()->first <= m_Now) {
      const auto Task = std::move(m_Tasks.begin()->second);
      m_Tasks.erase(m_Tasks.begin());
      Task();
    }
    for (std::size_t G = 0; G < m_Gateways.size(); ++G) {
      Gateway &Own = m_Gateways[G];
      if (Own.m_StartsAt > m_Now)
        continue;
      std::vector<ColdQuery> Queries;
      for (std::size_t S = 0; S < m_Servers.size(); ++S)
        Queries.push_back(
            {m_Servers[S].m_Name, "llm", Own.m_AnnouncedUntil[S]});
      allowReserve(Own.m_Cold, Queries, m_Now);
      for (std::size_t S = 0; S < m_Servers.size(); ++S)
        for (auto Next = nextAllowed(Own.m_Cold, Queries[S], m_Now);
             Next && *Next <= m_Now;
             Next = nextAllowed(Own.m_Cold, Queries[S], m_Now))
          send(G, S);
    }
  }
}

std::size_t ColdFleet::mostInSecond() const {
  std::size_t Most = 0;
  for (const Server &Each : m_Servers) {
    std::size_t First = 0;
    for (std::size_t I = 0; I < Each.m_Arrivals.size(); ++I) {
      while (Each.m_Arrivals[I] - Each.m_Arrivals[First] >= 1s)
        ++First;
      Most = std::max(Most, I - First + 1);
    }
  }
  return Most;
}

std::size_t ColdFleet::coldArrivals(TimePoint Since) const {
  std::size_t Count = 0;
  for (const Server &Each : m_Servers)
    Count += static_cast<std::size_t>(
        std::count_if(Each.m_Arrivals.begin(), Each.m_Arrivals.end(),
                      [&](TimePoint At) { return At >= Since; }));
  return Count;
}

} // namespace mangocart
