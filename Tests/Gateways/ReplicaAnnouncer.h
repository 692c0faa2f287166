// Announces replicas of the service of a GatewayDeployment to its voter every
// half second.
#ifndef MANGOCART_TESTS_REPLICAANNOUNCER_H
#define MANGOCART_TESTS_REPLICAANNOUNCER_H

#include "Http/HttpClient.h"

#include <map>
#include <string>
#include <thread>

namespace mangocart::test {

class ReplicaAnnouncer {
public:
  // Replicas by name.
  ReplicaAnnouncer(HttpTarget Voter,
                   std::map<std::string, HttpTarget> Replicas);
  ReplicaAnnouncer(const ReplicaAnnouncer &) = delete;
  ReplicaAnnouncer &operator=(const ReplicaAnnouncer &) = delete;

private:
  void announce(unsigned Sequence) const;

  const HttpTarget m_Voter;
  const std::map<std::string, HttpTarget> m_Replicas;
  std::jthread m_Thread;
};

} // namespace mangocart::test

#endif
