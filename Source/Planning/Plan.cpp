// Answers to configuration, field by field, and the warnings on the result.
#include "Planning/Plan.h"

#include "Planning/VoterChoice.h"
#include "Questionnaire.pb.h"
#include "Settings/AnswerChecks.h"
#include "Settings/MessageReader.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string_view>

namespace mangocart {

namespace {

// Weights of what the deployment weighs more, and of the other; they add up
// to 1.
constexpr double GreaterWeight = 0.7;
constexpr double LesserWeight = 0.3;
constexpr std::string_view StepSkew = "step-skew";
constexpr std::string_view EngineGroup = "engine-group";
constexpr std::size_t VotersForOneLoss = 3;

void setWeights(const schema::Questionnaire &Answers,
                schema::Configuration &To) {
  const bool SkewFirst = Answers.weighs_more() == StepSkew;
  To.set_step_skew_weight(SkewFirst ? GreaterWeight : LesserWeight);
  To.set_rebalancing_cost_weight(SkewFirst ? LesserWeight : GreaterWeight);
}

void setZones(const schema::Questionnaire &Answers, schema::Configuration &To) {
  for (const schema::AvailabilityZoneAnswer &Answer :
       Answers.availability_zones()) {
    schema::AvailabilityZone &Zone = *To.add_availability_zones();
    Zone.set_name(Answer.name());
    Zone.set_region(Answer.region());
  }
}

void setEntryVms(const schema::Questionnaire &Answers,
                 const std::set<std::string> &Voters,
                 schema::Configuration &To) {
  for (const schema::EntryVmAnswer &Answer : Answers.entry_vms()) {
    schema::EntryVm &Vm = *To.add_entry_vms();
    Vm.set_name(Answer.name());
    Vm.set_availability_zone(Answer.availability_zone());
    Vm.set_address(Answer.address());
    Vm.set_caller_port(Answer.caller_port());
    Vm.set_admin_port(Answer.admin_port());
    Vm.set_peer_port(Answer.peer_port());
    Vm.set_voter(Voters.contains(Answer.name()));
  }
}

void setRoutes(const schema::ServiceAnswer &Answer, schema::Service &To) {
  for (const schema::RouteAnswer &From : Answer.routes()) {
    schema::Route &Route = *To.add_routes();
    Route.set_path(From.path());
    Route.set_idempotent(From.idempotent());
    Route.set_streamed(From.streamed());
    Route.set_deadline_ms(From.deadline_ms());
  }
}

void setServices(const schema::Questionnaire &Answers,
                 schema::Configuration &To) {
  for (const schema::ServiceAnswer &Answer : Answers.services()) {
    schema::Service &Service = *To.add_services();
    Service.set_name(Answer.name());
    Service.set_kind(Answer.kind() == EngineGroup
                         ? schema::Service::ENGINE_GROUP
                         : schema::Service::PLAIN);
    Service.set_replicas(Answer.replicas());
    Service.set_checks_fencing_numbers(Answer.checks_fencing_numbers());
    Service.set_max_outstanding_per_backend_server(
        Answer.max_outstanding_per_backend_server());
    Service.set_routing_policy(Answer.routing_policy());
    Service.set_resumes_streams(Answer.resumes_streams());
    setRoutes(Answer, Service);
  }
}

void setCustomers(const schema::Questionnaire &Answers,
                  schema::Configuration &To) {
  for (const schema::CustomerAnswer &Answer : Answers.customers()) {
    schema::Customer &Customer = *To.add_customers();
    Customer.set_name(Answer.name());
    Customer.set_share(Answer.share());
    Customer.set_max_tokens_per_second(Answer.max_tokens_per_second());
  }
}

schema::Configuration configurationFor(const schema::Questionnaire &Answers,
                                       const schema::Configuration &Present) {
  schema::Configuration Next;
  Next.set_version(Present.version() + 1);
  Next.set_deployment(Answers.deployment());
  Next.set_policy_version(Answers.policy_version());
  Next.set_outcome_retention_s(Answers.outcome_retention_s());
  setWeights(Answers, Next);
  setZones(Answers, Next);
  setEntryVms(Answers, chooseVoters(Answers, Present), Next);
  setServices(Answers, Next);
  setCustomers(Answers, Next);
  return Next;
}

void warnOfEmptyZones(const schema::Configuration &Next, const KeyLines &Lines,
                      SettingsWarnings &Warnings) {
  for (int I = 0; I < Next.availability_zones_size(); ++I) {
    const std::string &Zone = Next.availability_zones(I).name();
    const bool HasEntry = std::any_of(
        Next.entry_vms().begin(), Next.entry_vms().end(),
        [&](const auto &Vm) { return Vm.availability_zone() == Zone; });
    if (!HasEntry)
      Warnings.push_back(warningAt(
          Lines, fmt::format("availability_zones[{}].name", I),
          fmt::format("{} has no entry VM: cut off, it serves nothing", Zone)));
  }
}

void warnOfVoters(const schema::Configuration &Next, const KeyLines &Lines,
                  SettingsWarnings &Warnings) {
  std::map<std::string, std::size_t> PerZone;
  std::size_t Voters = 0;
  for (const schema::EntryVm &Vm : Next.entry_vms())
    if (Vm.voter()) {
      ++Voters;
      ++PerZone[Vm.availability_zone()];
    }
  if (Voters < VotersForOneLoss) {
    Warnings.push_back(warningAt(
        Lines, "entry_vms",
        fmt::format("{} voter: the loss of its VM stops non-idempotent "
                    "requests and changes of configuration; three entry VMs "
                    "with disks outlive the loss of one",
                    Voters)));
    return;
  }
  for (const auto &[Zone, Count] : PerZone)
    if (Count * 2 > Voters)
      Warnings.push_back(warningAt(
          Lines, "entry_vms",
          fmt::format("{} of {} voters are in {}: the loss of this "
                      "availability zone stops non-idempotent requests and "
                      "changes of configuration",
                      Count, Voters, Zone)));
}

void warnOfShares(const schema::Configuration &Next, const KeyLines &Lines,
                  SettingsWarnings &Warnings) {
  std::uint64_t Sum = 0;
  for (const schema::Customer &Customer : Next.customers())
    Sum += Customer.share();
  for (int I = 0; I < Next.customers_size(); ++I) {
    const schema::Customer &Customer = Next.customers(I);
    if (Next.customers_size() > 1 && 2ULL * Customer.share() > Sum)
      Warnings.push_back(
          warningAt(Lines, fmt::format("customers[{}].share", I),
                    fmt::format("{} of {} shares: {} may take more than half "
                                "of the system when it is busy",
                                Customer.share(), Sum, Customer.name())));
  }
}

} // namespace

Result<Plan, SettingsErrors> plan(const schema::Questionnaire &Answers,
                                  const schema::Configuration &Present,
                                  const KeyLines &Lines) {
  SettingsErrors Errors = checkAnswers(Answers, Lines);
  if (!Errors.empty())
    return Errors;
  Plan Made;
  Made.m_Configuration = configurationFor(Answers, Present);
  Made.m_PlannedAgainst = Present.version();
  Made.m_Changes = difference(Present, Made.m_Configuration);
  warnOfEmptyZones(Made.m_Configuration, Lines, Made.m_Warnings);
  warnOfVoters(Made.m_Configuration, Lines, Made.m_Warnings);
  warnOfShares(Made.m_Configuration, Lines, Made.m_Warnings);
  return Made;
}

Result<Plan, SettingsErrors> planText(const std::string &File,
                                      std::string_view Text,
                                      const schema::Configuration &Present) {
  schema::Questionnaire Answers;
  const ReadFindings Findings = readMessage(File, Text, Answers);
  if (!Findings.m_Errors.empty())
    return Findings.m_Errors;
  Result<Plan, SettingsErrors> Made = plan(Answers, Present, Findings.m_Lines);
  if (Made)
    Made.value().m_Warnings.insert(Made.value().m_Warnings.begin(),
                                   Findings.m_Warnings.begin(),
                                   Findings.m_Warnings.end());
  return Made;
}

} // namespace mangocart
