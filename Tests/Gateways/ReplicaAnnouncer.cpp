// Announcements as the voter's control endpoint takes them.
#include "Gateways/ReplicaAnnouncer.h"

#include "Gateways/GatewayProcess.h"

#include <fmt/format.h>

namespace mangocart::test {

namespace {
constexpr std::chrono::milliseconds Interval{500};
} // namespace

ReplicaAnnouncer::ReplicaAnnouncer(HttpTarget Voter,
                                   std::map<std::string, HttpTarget> Replicas)
    : m_Voter(std::move(Voter)), m_Replicas(std::move(Replicas)),
      m_Thread([this](const std::stop_token &Stop) {
        for (unsigned Sequence = 1; !Stop.stop_requested(); ++Sequence) {
          announce(Sequence);
          std::this_thread::sleep_for(Interval);
        }
      }) {}

void ReplicaAnnouncer::announce(unsigned Sequence) const {
  for (const auto &[Name, At] : m_Replicas)
    call(m_Voter,
         {"PUT",
          "/instances/" + Name,
          {{"Host", "voter"}, {"Content-Type", "application/json"}},
          fmt::format(R"({{"service":"engines","address":"{}:{}",)"
                      R"("zone":"z0","slots":8,"state":"ready",)"
                      R"("cold_remaining_ms":0,"born":1,"sequence":{}}})",
                      At.m_Address, At.m_Port, Sequence),
          {}});
}

} // namespace mangocart::test
