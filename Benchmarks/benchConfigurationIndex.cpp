// Processor time of the look-ups that every request makes, and of the index
// that is made once for each configuration in force.
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
  auto Made = std::make_shared<schema::Configuration>();
  for (std::int64_t I = 0; I < Customers; ++I)
    Made->add_customers()->set_name(customerName(I));
  for (int I = 0; I < Services; ++I) {
    schema::Service &Service = *Made->add_services();
    for (int J = 0; J < RoutesPerService; ++J)
      Service.add_routes()->set_path("/service-" + std::to_string(I) +
                                     "/route-" + std::to_string(J));
  }
  return Made;
}

// Names and targets in an order without a pattern, made beforehand.
std::vector<std::string> names(std::int64_t Customers) {
  constexpr std::int64_t Step = 7919;
  std::vector<std::string> Made;
  for (std::int64_t I = 0; I < Customers; ++I)
    Made.push_back(customerName(I * Step % Customers));
  return Made;
}

std::vector<std::string> targets() {
  std::vector<std::string> Made;
  Made.reserve(std::size_t{Services} * RoutesPerService);
  for (int I = 0; I < Services * RoutesPerService; ++I)
    Made.push_back("/service-" + std::to_string(I * 7 % Services) + "/route-" +
                   std::to_string(I % RoutesPerService) + "/7?day=3");
  return Made;
}

void customer(benchmark::State &State) {
  const ConfigurationIndex Index(configurationWith(State.range(0)));
  const auto Names = names(State.range(0));
  std::size_t At = 0;
  for (auto _ : State)
    benchmark::DoNotOptimize(Index.findCustomer(Names[At++ % Names.size()]));
}

void route(benchmark::State &State) {
  const ConfigurationIndex Index(configurationWith(1));
  const auto Targets = targets();
  std::size_t At = 0;
  for (auto _ : State)
    benchmark::DoNotOptimize(Index.findRoute(Targets[At++ % Targets.size()]));
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
