// A configuration is turned back into answers and planned again, so that every
// rule of the questionnaire also holds for one that was made by hand.
#include "Planning/ConfigurationChecks.h"

#include "Planning/Plan.h"
#include "Questionnaire.pb.h"
#include "Settings/MessageWriter.h"

#include <fmt/format.h>

#include <algorithm>

namespace mangocart {

namespace {

constexpr int MaxVoters = 5;
// Voters may stand otherwise than a new plan would choose them.
constexpr const char *VoterField = "voter";
constexpr const char *ConfigurationName = "configuration";

void addPlaces(const schema::Configuration &From, schema::Questionnaire &To) {
  for (const schema::AvailabilityZone &Zone : From.availability_zones()) {
    auto &Answer = *To.add_availability_zones();
    Answer.set_name(Zone.name());
    Answer.set_region(Zone.region());
  }
  for (const schema::EntryVm &Vm : From.entry_vms()) {
    auto &Answer = *To.add_entry_vms();
    Answer.set_name(Vm.name());
    Answer.set_availability_zone(Vm.availability_zone());
    Answer.set_address(Vm.address());
    Answer.set_caller_port(Vm.caller_port());
    Answer.set_admin_port(Vm.admin_port());
    Answer.set_peer_port(Vm.peer_port());
    Answer.set_has_disk(Vm.voter());
  }
}

std::string kindAnswer(schema::Service::Kind Kind) {
  switch (Kind) {
  case schema::Service::ENGINE_GROUP:
    return "engine-group";
  case schema::Service::PLAIN:
    return "plain";
  default:
    return "";
  }
}

void addServices(const schema::Configuration &From, schema::Questionnaire &To) {
  for (const schema::Service &Service : From.services()) {
    auto &Answer = *To.add_services();
    Answer.set_name(Service.name());
    Answer.set_kind(kindAnswer(Service.kind()));
    Answer.set_replicas(Service.replicas());
    Answer.set_checks_fencing_numbers(Service.checks_fencing_numbers());
    Answer.set_max_outstanding_per_backend_server(
        Service.max_outstanding_per_backend_server());
    Answer.set_routing_policy(Service.routing_policy());
    Answer.set_resumes_streams(Service.resumes_streams());
    for (const schema::Route &Route : Service.routes()) {
      auto &Path = *Answer.add_routes();
      Path.set_path(Route.path());
      Path.set_idempotent(Route.idempotent());
      Path.set_streamed(Route.streamed());
      Path.set_deadline_ms(Route.deadline_ms());
    }
  }
}

void addCustomers(const schema::Configuration &From,
                  schema::Questionnaire &To) {
  for (const schema::Customer &Customer : From.customers()) {
    auto &Answer = *To.add_customers();
    Answer.set_name(Customer.name());
    Answer.set_share(Customer.share());
    Answer.set_max_tokens_per_second(Customer.max_tokens_per_second());
  }
}

std::string faultOfVoters(const schema::Configuration &Configuration) {
  const auto &Vms = Configuration.entry_vms();
  const auto Voters =
      std::count_if(Vms.begin(), Vms.end(),
                    [](const schema::EntryVm &Vm) { return Vm.voter(); });
  if (Voters % 2 == 0 || Voters > MaxVoters)
    return fmt::format("{} voters; expected 1, 3 or 5", Voters);
  return {};
}

} // namespace

schema::Questionnaire answersFor(const schema::Configuration &Configuration) {
  schema::Questionnaire Answers;
  Answers.set_policy_version(Configuration.policy_version());
  Answers.set_deployment(Configuration.deployment());
  Answers.set_outcome_retention_s(Configuration.outcome_retention_s());
  Answers.set_weighs_more(Configuration.step_skew_weight() >
                                  Configuration.rebalancing_cost_weight()
                              ? "step-skew"
                              : "rebalancing-cost");
  addPlaces(Configuration, Answers);
  addServices(Configuration, Answers);
  addCustomers(Configuration, Answers);
  return Answers;
}

std::string faultOf(const schema::Configuration &Configuration) {
  std::string Fault = faultOfVoters(Configuration);
  if (!Fault.empty())
    return Fault;
  // By way of the text: a field that was left out gets its default, and then
  // differs.
  const auto Made =
      planText(ConfigurationName, writeToml(answersFor(Configuration)), {});
  if (!Made) {
    const SettingsError &First = Made.error().front();
    return fmt::format("{}: found {}; expected {}", First.m_Key, First.m_Found,
                       First.m_Expected);
  }
  for (const ConfigurationChange &Change :
       difference(Made.value().m_Configuration, Configuration))
    if (Change.m_Field != VoterField)
      return "no answers lead to this configuration: " + toString(Change);
  return {};
}

} // namespace mangocart
