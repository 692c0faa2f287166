// CPU time of the lookups for each request, and of building the index, which is
// done once for each active configuration.
#include "Configuration/ConfigurationIndex.h"

#include <benchmark/benchmark.h>

using namespace mangocart;

namespace {

constexpr int Services = 20;
constexpr int RoutesPerService = 3;

std::string customerName(std::int64_t Number) {
  return "customer-" + std::to_string(Number);
}

std::shared_ptr<const schema::Configuration>
configurationWith(std::int64_t Customers) {
  auto Configuration = std::make_shared<schema::Configuration>();
  for (std::int64_t I = 0; I < Customers; ++I)
    Configuration->add_customers()->set_name(customerName(I));
  for (int I = 0; I < Services; ++I) {
    schema::Service &Service = *Configuration->add_services();
    for (int J = 0; J < RoutesPerService; ++J)
      Service.add_routes()->set_path("/service-" + std::to_string(I) +
                                     "/route-" + std::to_string(J));
  }
  return Configuration;
}

// Names and targets, precomputed and in scattered order.
std::vector<std::string> customerNames(std::int64_t Customers) {
  constexpr std::int64_t Step = 7919;
  std::vector<std::string> Names;
  for (std::int64_t I = 0; I < Customers; ++I)
    Names.push_back(customerName(I * Step % Customers));
  return Names;
}

std::vector<std::string> targets() {
  std::vector<std::string> Targets;
  Targets.reserve(std::size_t{Services} * RoutesPerService);
  for (int I = 0; I < Services * RoutesPerService; ++I)
    Targets.push_back("/service-" + std::to_string(I * 7 % Services) +
                      "/route-" + std::to_string(I % RoutesPerService) +
                      "/7?day=3");
  return Targets;
}

void customer(benchmark::State &State) {
  const ConfigurationIndex Index(configurationWith(State.range(0)));
  const auto Names = customerNames(State.range(0));
  std::size_t Next = 0;
  for (auto _ : State)
    benchmark::DoNotOptimize(Index.findCustomer(Names[Next++ % Names.size()]));
}

void route(benchmark::State &State) {
  const ConfigurationIndex Index(configurationWith(1));
  const auto Targets = targets();
  std::size_t Next = 0;
  for (auto _ : State)
    benchmark::DoNotOptimize(Index.findRoute(Targets[Next++ % Targets.size()]));
}

void makeIndex(benchmark::State &State) {
  const auto Configuration = configurationWith(State.range(0));
  for (auto _ : State)
    benchmark::DoNotOptimize(ConfigurationIndex(Configuration));
}

} // namespace

BENCHMARK(customer)->Arg(100)->Arg(15000);
BENCHMARK(route);
BENCHMARK(makeIndex)->Arg(15000)->Unit(benchmark::kMicrosecond);
