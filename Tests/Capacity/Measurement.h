// Shared by the capacity benchmarks: CPU time and heap usage of this process,
// and messages of the sizes that the deployment of docs/CAPACITY.md has.
#ifndef MANGOCART_TESTS_CAPACITY_MEASUREMENT_H
#define MANGOCART_TESTS_CAPACITY_MEASUREMENT_H

#include "Configuration.pb.h"
#include "Membership/MembershipTable.h"
#include "Peer.pb.h"

#include <cstddef>
#include <string>

namespace mangocart {

// Returns the CPU time of all threads of this process in microseconds.
double cpuMicroseconds();

// Returns the number of bytes that are allocated and not freed.
std::size_t heapBytes();

// Returns a backend server as an agent announces it, with names of typical
// length.
Member sampleMember(std::size_t Number);

// Returns a configuration with 12 availability zones and 25 services of two
// routes each.
schema::Configuration sampleConfiguration(std::size_t Customers,
                                          std::size_t EntryVms);

// Returns the message of a gossip round with the given numbers of changed
// members and known entries.
schema::GossipMessage sampleGossip(std::size_t Members, std::size_t Entries);

} // namespace mangocart

#endif
