// A new version of the configuration adds a route whose host has capital
// letters. It is acknowledged, and no request ever reaches the route.
#include "../kit/Client.h"
#include "../kit/Deployment.h"

#include <cstdio>

using namespace review;

namespace {

constexpr int DeadlineMs = 1500;
constexpr int TimeoutMs = 800;
constexpr Milliseconds ConfigApply(2000);
constexpr int RequestsEach = 20;
constexpr std::size_t Gateways = 2;

const Route OldRoute{"/slot/", "non_idempotent", TimeoutMs, "reservas",
                     "ficu95.example"};
const Route NewRoute{"/check/", "idempotent", TimeoutMs, "reservas",
                     "Lohu93.Example"};

// Returns how many of the requests are refused though the route is there.
int sendTo(Deployment &System, const Route &To, const std::string &Prefix) {
  int Refused = 0;
  for (int I = 0; I < RequestsEach; ++I) {
    const TimePoint Deadline = Clock::now() + Milliseconds(DeadlineMs);
    Socket Connection = connectTo(
        System.gatewayFront(static_cast<std::size_t>(I) % Gateways), Deadline);
    const ClientRequest Request{To.m_Prefix + "1",
                                Prefix + "-" + std::to_string(I),
                                std::string(600, 'x'), DeadlineMs, To.m_Host};
    System.record().write("sends " + Request.m_Id + " to " + To.m_Host +
                          Request.m_Path);
    Connection.send(headOf(Request) + Request.m_Body, Deadline);
    const Answer Got = readAnswer(Connection, Deadline);
    const bool IsRefused =
        Got.m_Status == 401 || Got.m_Status == 403 || Got.m_Status == 404;
    Refused += IsRefused ? 1 : 0;
    System.record().write((IsRefused ? "CONFIG " : "end of ") + Request.m_Id +
                          ": status " + std::to_string(Got.m_Status));
  }
  return Refused;
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 4)
    return 2;
  Deployment System(Argv[1], Argv[2], Argv[3]);
  System.start(3, Gateways);
  for (const char *Id : {"i-1", "i-2", "i-3"})
    System.startReplica(Id, "reservas", {"--work-ms", "60"});
  if (!System.putConfiguration(configurationOf({OldRoute})) ||
      !System.waitUntilReady())
    return 2;
  std::this_thread::sleep_for(Milliseconds(System.bounds().m_StableWindowMs));
  const std::string Prefix = uniquePrefix();
  int Refused = sendTo(System, OldRoute, Prefix + "-old");
  if (isTroubleWanted()) {
    if (!System.putConfiguration(configurationOf({OldRoute, NewRoute}, 9)))
      return 2;
    std::this_thread::sleep_for(ConfigApply + Milliseconds(1000));
    Refused += sendTo(System, OldRoute, Prefix + "-kept");
    Refused += sendTo(System, NewRoute, Prefix + "-new");
  }
  std::printf("%d requests refused though their route is there\n", Refused);
  return Refused > 0 ? 1 : 0;
}
