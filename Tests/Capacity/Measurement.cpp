// CPU time, heap usage, and sample messages.
#include "Capacity/Measurement.h"

#include <ctime>
#include <malloc.h>

namespace mangocart {

namespace {

const TimePoint Begin(std::chrono::seconds(1000));

std::string entryName(std::size_t Number) {
  return "entry-vm-" + std::to_string(Number);
}

std::string zoneName(std::size_t Number) {
  return "region-1-zone-" + std::to_string(Number % 12);
}

void addService(schema::Configuration &Configuration, std::size_t Number) {
  schema::Service &Service = *Configuration.add_services();
  Service.set_name("assistant-" + std::to_string(Number));
  Service.set_kind(schema::Service::ENGINE_GROUP);
  Service.set_replicas(24);
  Service.set_max_outstanding_per_backend_server(64);
  Service.set_routing_policy("score");
  for (const char *Path : {"/v1/answers", "/v1/bookings"}) {
    schema::Route &Route = *Service.add_routes();
    Route.set_path(Path + std::to_string(Number));
    Route.set_idempotent(true);
    Route.set_streamed(true);
    Route.set_deadline_ms(30'000);
  }
}

} // namespace

double cpuMicroseconds() {
  timespec Time{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) * 1e6 +
         static_cast<double>(Time.tv_nsec) / 1e3;
}

std::size_t heapBytes() {
  const struct mallinfo2 Heap = ::mallinfo2();
  return Heap.uordblks + Heap.hblkhd;
}

Member sampleMember(std::size_t Number) {
  Member Record;
  Record.m_BackendServer = "backend-server-" + std::to_string(Number);
  Record.m_Service = "assistant-" + std::to_string(Number % 25);
  Record.m_AvailabilityZone = zoneName(Number);
  Record.m_Address = "10.100.100.100";
  Record.m_PeerPort = 8082;
  Record.m_Outstanding = 7;
  Record.m_Incarnation = 1'700'000'000'000;
  Record.m_Counter = 1'000'000;
  Record.m_ConfigurationVersion = 700'000;
  Record.m_ReportedLoad = 0.75;
  Record.m_LoadMeasuredAt = Begin;
  return Record;
}

schema::Configuration sampleConfiguration(std::size_t Customers,
                                          std::size_t EntryVms) {
  schema::Configuration Configuration;
  Configuration.set_version(700'000);
  Configuration.set_deployment("shared-platform");
  Configuration.set_step_skew_weight(0.7);
  Configuration.set_rebalancing_cost_weight(0.3);
  Configuration.set_outcome_retention_s(86'400);
  Configuration.set_policy_version(1);
  for (std::size_t I = 0; I < 12; ++I) {
    schema::AvailabilityZone &Zone = *Configuration.add_availability_zones();
    Zone.set_name(zoneName(I));
    Zone.set_region("region-1");
  }
  for (std::size_t I = 0; I < EntryVms; ++I) {
    schema::EntryVm &Vm = *Configuration.add_entry_vms();
    Vm.set_name(entryName(I));
    Vm.set_availability_zone(zoneName(I));
    Vm.set_address("10.100.100.100");
    Vm.set_caller_port(8080);
    Vm.set_admin_port(8081);
    Vm.set_peer_port(8082);
  }
  for (std::size_t I = 0; I < 25; ++I)
    addService(Configuration, I);
  for (std::size_t I = 0; I < Customers; ++I) {
    schema::Customer &Customer = *Configuration.add_customers();
    Customer.set_name("customer-" + std::to_string(I));
    Customer.set_share(1);
    Customer.set_max_tokens_per_second(5000);
  }
  return Configuration;
}

schema::GossipMessage sampleGossip(std::size_t Members, std::size_t Entries) {
  schema::GossipMessage Message;
  Message.set_from(entryName(0));
  Message.set_configuration_version(700'000);
  for (std::size_t I = 0; I < Members; ++I)
    deltaToSchema({sampleMember(I), std::chrono::milliseconds(900)}, Begin,
                  *Message.add_members());
  for (std::size_t I = 0; I < Entries; ++I) {
    schema::ProcessVersion &Version = *Message.add_versions();
    Version.set_process(entryName(I));
    Version.set_role("entry");
    Version.set_configuration_version(700'000);
    Version.set_heard_ms_ago(900);
  }
  return Message;
}

} // namespace mangocart
