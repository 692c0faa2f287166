// A model of gateways, voters and servers that become cold, for tests of the
// allowances: voters name the gateways that are connected to them, updates are
// late, gateways are cut off, killed and started anew.
#ifndef MANGOCART_TESTS_ROUTING_COLDFLEET_H
#define MANGOCART_TESTS_ROUTING_COLDFLEET_H

#include "Core/Random.h"
#include "Routing/ColdAllowance.h"

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mangocart {

struct ColdFleetOptions {
  std::size_t m_Gateways = 16;
  std::size_t m_Servers = 4;
  double m_Rate = 14.0;
  double m_BurstFactor = 1.5;
  double m_BurstSlack = 5.0;
  // Announcements of cold servers reach gateways that are connected.
  bool m_IsAnnounced = true;
  std::uint64_t m_Seed = 1;
};

class ColdFleet {
public:
  static constexpr Duration Step = std::chrono::milliseconds(5);

  explicit ColdFleet(const ColdFleetOptions &Options);

  // Callers wait at all gateways meanwhile: each gateway sends whatever it may.
  void run(Duration For);
  void becomeCold(std::size_t Server, Duration For);
  // Kills a gateway; a new process with the same endpoint begins after Down.
  void restart(std::size_t Gateway, Duration Down);
  void kill(std::size_t Gateway) { m_Gateways[Gateway].m_StartsAt = Never; }
  void add();
  // The gateway reaches only these voters, and announcements only if any.
  void connect(std::size_t Gateway, std::set<std::size_t> Voters);
  void connectAll(std::size_t Gateway);

  std::size_t gateways() const { return m_Gateways.size(); }
  TimePoint now() const { return m_Now; }
  Random &random() { return m_Random; }
  // The most requests that a cold server got in any second.
  std::size_t mostInSecond() const;
  // Requests that cold servers got from then on.
  std::size_t coldArrivals(TimePoint Since) const;

  static constexpr std::size_t Voters = 6;

private:
  static constexpr TimePoint Never = TimePoint::max();

  struct Heard {
    std::vector<std::string> m_Names;
    TimePoint m_At;
  };
  struct Gateway {
    std::string m_Name;
    ColdAllowance m_Cold;
    std::set<std::size_t> m_Voters;
    std::map<std::size_t, Heard> m_Heard;
    // When announced coldness of each server ends.
    std::vector<TimePoint> m_AnnouncedUntil;
    TimePoint m_StartsAt;
  };
  struct Server {
    std::string m_Name;
    TimePoint m_ColdSince;
    TimePoint m_ColdUntil;
    // Arrivals while it was cold.
    std::vector<TimePoint> m_Arrivals;
  };

  void begin(Gateway &New);
  void sendUpdates();
  void receive(std::size_t Gateway, std::size_t Voter,
               std::vector<std::string> Names);
  void send(std::size_t Gateway, std::size_t Server);
  void arrive(std::size_t Gateway, std::size_t Server, TimePoint SentAt);
  Duration randomMs(std::uint64_t Least, std::uint64_t Most);
  void after(Duration Wait, std::function<void()> Task);
  // Discards tasks for an earlier process of the gateway.
  std::function<void()> forProcess(std::size_t Gateway,
                                   std::function<void()> Task);

  const ColdFleetOptions m_Options;
  Random m_Random;
  TimePoint m_Now{std::chrono::seconds(1000)};
  std::vector<Gateway> m_Gateways;
  std::vector<Server> m_Servers;
  std::multimap<TimePoint, std::function<void()>> m_Tasks;
  std::vector<std::uint64_t> m_Process;
};

} // namespace mangocart

#endif
