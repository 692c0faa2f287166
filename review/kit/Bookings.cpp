// Each client keeps its connection and has one request at a time.
#include "Bookings.h"

#include "Client.h"

namespace review {

namespace {

constexpr int DeadlineMs = 1500;
constexpr int TimeoutMs = 800;
constexpr int Clients = 24;
constexpr Milliseconds RequestInterval(150);
constexpr auto PlayTime = std::chrono::seconds(90);

void runClient(Deployment &System, const std::string &Prefix, TimePoint Until,
               const OnAnswer &Handler) {
  Socket Connection;
  for (int Number = 0; Clock::now() < Until; ++Number) {
    const TimePoint Next = Clock::now() + RequestInterval;
    const TimePoint Deadline = Clock::now() + Milliseconds(DeadlineMs);
    if (!Connection.isOpen() || Connection.isClosedByPeer())
      Connection = connectTo(System.gatewayFront(0), Deadline);
    const ClientRequest Request{"/slot/1",
                                Prefix + "-" + std::to_string(Number),
                                std::string(600, 'x'), DeadlineMs};
    System.record().write("sends " + Request.m_Id);
    Connection.send(headOf(Request) + Request.m_Body, Deadline);
    const Answer Got = readAnswer(Connection, Deadline);
    System.record().write(
        "end of " + Request.m_Id + ": status " + std::to_string(Got.m_Status) +
        ", stamp " +
        Got.m_Head.field("X-Mangocart-Server-Stamp").value_or("none") +
        ", body " + Got.m_Body.m_Bytes.substr(0, 40));
    Handler(Request.m_Id, Got);
    const auto Persistence = Got.m_Head.field("Connection");
    if (Got.m_Status == 0 || Got.m_Body.m_End != BodyEnd::Whole ||
        (Persistence && *Persistence == "close"))
      Connection.close();
    std::this_thread::sleep_until(Next);
  }
}

} // namespace

bool playBookings(Deployment &System, std::vector<std::string> Options,
                  const OnAnswer &Handler) {
  System.start(3, 1);
  Options.insert(Options.end(), {"--work-ms", "60"});
  std::vector<std::string> Faulty = Options;
  if (isTroubleWanted())
    Faulty.insert(Faulty.end(), {"--lost-percent", "40", "--extra-percent", "3",
                                 "--on-ms", "4000", "--off-ms", "2000"});
  // Three of five: a share of 0.6.
  for (const char *Id : {"i-1", "i-2", "i-3"})
    System.startReplica(Id, "reservas", Faulty);
  for (const char *Id : {"i-4", "i-5"})
    System.startReplica(Id, "reservas", Options);
  if (!System.putConfiguration(configurationOf(
          {{"/slot/", "non_idempotent", TimeoutMs, "reservas"}})) ||
      !System.waitUntilReady())
    return false;
  std::this_thread::sleep_for(Milliseconds(System.bounds().m_StableWindowMs));
  const std::string Prefix = uniquePrefix();
  const TimePoint Until = Clock::now() + PlayTime;
  std::vector<std::thread> Threads;
  for (int I = 0; I < Clients; ++I)
    Threads.emplace_back([&, I] {
      runClient(System, Prefix + "-" + std::to_string(I), Until, Handler);
    });
  for (std::thread &Each : Threads)
    Each.join();
  return true;
}

} // namespace review
