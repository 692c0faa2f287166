// Generates requests from the seed and the index.
#include "Load/Workload.h"

#include "Core/Hash.h"
#include "Core/Random.h"

#include <boost/json.hpp>

#include <array>

namespace mangocart {

namespace json = boost::json;

namespace {

// Prompt prefixes shared by many drafts, as in real seasonal load.
constexpr std::array<const char *, 4> Topics{
    "Which days are best for peaches, and how is the row picked? ",
    "What will the weather be over the weekend at the orchard? ",
    "Summarize the intake of this family for the coordinator. ",
    "Is this person eligible for a place, and what is missing? "};

const std::string &chooseCustomer(const std::vector<LoadCustomer> &Customers,
                                  Random &Generator) {
  std::uint64_t TotalWeight = 0;
  for (const LoadCustomer &Customer : Customers)
    TotalWeight += Customer.m_Weight;
  std::uint64_t Remaining = uniform(Generator, 0, TotalWeight - 1);
  for (const LoadCustomer &Customer : Customers) {
    if (Remaining < Customer.m_Weight)
      return Customer.m_Name;
    Remaining -= Customer.m_Weight;
  }
  return Customers.back().m_Name;
}

void planDraft(PlannedRequest &Planned, const LoadOptions &Options,
               Random &Generator) {
  Planned.m_Kind = RequestKind::Draft;
  Planned.m_MaxTokens = Options.m_MaxTokens;
  Planned.m_Prompt =
      Topics[uniform(Generator, 0, Topics.size() - 1)] + Planned.m_Id;
  Planned.m_Body =
      json::serialize(json::object{{"prompt", Planned.m_Prompt},
                                   {"max_tokens", Planned.m_MaxTokens},
                                   {"stream", true}});
}

void planBooking(PlannedRequest &Planned, const LoadOptions &Options,
                 Random &Generator) {
  constexpr std::uint64_t Rows = 40;
  Planned.m_Kind = RequestKind::Booking;
  Planned.m_Body =
      json::serialize(json::object{{"booking", Planned.m_Id},
                                   {"customer", Planned.m_Customer},
                                   {"row", uniform(Generator, 1, Rows)}});
  Planned.m_Resend = uniformReal(Generator) < Options.m_ResendProbability;
  Planned.m_Race = uniformReal(Generator) < Options.m_RaceProbability;
}

} // namespace

PlannedRequest planRequest(const LoadOptions &Options, std::uint64_t Index) {
  const std::string Number = std::to_string(Index);
  Random Generator(hash64(Number, Options.m_Seed));
  PlannedRequest Planned;
  Planned.m_Index = Index;
  Planned.m_Id = Options.m_RunName + "-" + Number;
  Planned.m_Customer = chooseCustomer(Options.m_Customers, Generator);
  const std::uint64_t Pick = uniform(
      Generator, 0, Options.m_DraftWeight + Options.m_BookingWeight - 1);
  if (Pick < Options.m_DraftWeight)
    planDraft(Planned, Options, Generator);
  else
    planBooking(Planned, Options, Generator);
  return Planned;
}

HttpRequest toHttpRequest(const PlannedRequest &Planned,
                          const LoadOptions &Options) {
  const bool IsBooking = Planned.m_Kind == RequestKind::Booking;
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Target = IsBooking ? Options.m_BookingPath : Options.m_DraftPath;
  Request.m_Headers = {{"Content-Type", "application/json"},
                       {"Mangocart-Customer", Planned.m_Customer},
                       {"Mangocart-Request", Planned.m_Id}};
  if (IsBooking)
    Request.m_Headers.push_back({"Idempotency-Key", Planned.m_Id});
  Request.m_Body = Planned.m_Body;
  return Request;
}

const HttpTarget &chooseTarget(const PlannedRequest &Planned,
                               const LoadOptions &Options, unsigned Attempt) {
  const auto &Targets = Planned.m_Kind == RequestKind::Booking
                            ? Options.m_BookingTargets
                            : Options.m_Targets;
  return Targets[(Planned.m_Index + Attempt) % Targets.size()];
}

} // namespace mangocart
