// What the capacity benches share: processor time and heap of this process, and
// messages of the size that the deployment of docs/CAPACITY.md has.
#ifndef MANGOCART_TESTS_CAPACITY_MEASUREMENT_H
#define MANGOCART_TESTS_CAPACITY_MEASUREMENT_H

#include "Configuration.pb.h"
#include "Membership/MembershipTable.h"
#include "Peer.pb.h"

#include <cstddef>
#include <string>

namespace mangocart {

// Processor time of all threads of this process, in microseconds.
double processorMicroseconds();

// Bytes handed out by the allocator and not given back.
std::size_t heapBytes();

// A backend server as an agent announces it, with names of usual length.
Member sampleMember(std::size_t Number);

// 12 availability zones and 25 services of two routes each.
schema::Configuration sampleConfiguration(std::size_t Customers,
                                          std::size_t EntryVms);

// A round of gossip with so many changed members and known entries.
schema::GossipMessage sampleGossip(std::size_t Members, std::size_t Entries);

} // namespace mangocart

#endif
