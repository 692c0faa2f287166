// A caller gets the answer to a probe of the gateway as the answer to its own
// request.
#include "../kit/Bookings.h"

#include <cstdio>

using namespace review;

namespace {

// MIXED: a success without the replica's stamp, or with the answer to another
// request.
bool isMixed(const Answer &Got, const std::string &Id) {
  if (Got.m_Status < 200 || Got.m_Status >= 300 ||
      Got.m_Body.m_End != BodyEnd::Whole)
    return false;
  return !Got.m_Head.field("X-Mangocart-Server-Stamp") ||
         Got.m_Head.field("X-Mangocart-Request-Id") != Id;
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 4)
    return 2;
  Deployment System(Argv[1], Argv[2], Argv[3]);
  std::atomic<int> Mixed = 0;
  const bool Played =
      playBookings(System, {}, [&](const std::string &Id, const Answer &Got) {
        if (!isMixed(Got, Id))
          return;
        ++Mixed;
        System.record().write("MIXED " + Id);
      });
  if (!Played)
    return 2;
  std::printf("%d requests got the answer to another one\n", Mixed.load());
  return Mixed > 0 ? 1 : 0;
}
