// Message sizes, memory and CPU time of single components, without sockets.
// docs/CAPACITY.md is calculated from the lines printed here.
#include "Capacity/Measurement.h"

#include "Core/Hash.h"
#include "Core/Random.h"
#include "Routing/FairQueue.h"
#include "Routing/LimitShares.h"
#include "State/ExpertMapRegister.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>
#include <map>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

const TimePoint Begin(1000s);

// Returns the mean CPU time of one run of the action in microseconds.
template <class Action>
double microsecondsPerRun(std::size_t Runs, Action Run) {
  const double Start = cpuMicroseconds();
  for (std::size_t I = 0; I < Runs; ++I)
    Run(I);
  return (cpuMicroseconds() - Start) / static_cast<double>(Runs);
}

MembershipTable makeMembershipTable(std::size_t Members) {
  MembershipTable Table;
  for (std::size_t I = 0; I < Members; ++I)
    merge(Table, sampleMember(I), 0s, Begin);
  return Table;
}

schema::Announcement toAnnouncement(const Member &Record) {
  schema::Announcement Message;
  memberToSchema(Record, Begin, Message);
  return Message;
}

} // namespace

TEST_CASE("sizes of announcements and gossip", "[.bench]") {
  std::cout << "announcement: "
            << toAnnouncement(sampleMember(1)).ByteSizeLong() << " B\n";
  schema::AnnounceReply Reply;
  Reply.set_fencing_number(1'000'000'000);
  Reply.set_known_incarnation(1'700'000'000'000);
  std::cout << "announce reply without a configuration: "
            << Reply.ByteSizeLong() << " B\n";
  for (const std::size_t Entries : {4, 37, 370})
    for (const std::size_t Members : {0, 10, 50, 200})
      std::cout << "gossip, " << Entries << " known entries, " << Members
                << " differences: "
                << sampleGossip(Members, Entries).ByteSizeLong() << " B\n";
}

TEST_CASE("size and cost of a configuration", "[.bench]") {
  for (const std::size_t EntryVms : {4, 370})
    for (const std::size_t Customers : {150, 1'500, 15'000}) {
      const schema::Configuration Sample =
          sampleConfiguration(Customers, EntryVms);
      const std::string Bytes = Sample.SerializeAsString();
      const std::size_t Before = heapBytes();
      const auto Copy = std::make_unique<schema::Configuration>(Sample);
      const std::size_t AllocatedBytes = heapBytes() - Before;
      const double SerializeTime = microsecondsPerRun(20, [&](std::size_t) {
        REQUIRE(!Sample.SerializeAsString().empty());
      });
      const double ParseTime = microsecondsPerRun(20, [&](std::size_t) {
        schema::Configuration Read;
        REQUIRE(Read.ParseFromString(Bytes));
      });
      std::cout << "configuration, " << EntryVms << " entry VMs, " << Customers
                << " customers: " << Bytes.size() << " B, " << AllocatedBytes
                << " B in memory, " << SerializeTime << " us to write, "
                << ParseTime << " us to read\n";
    }
}

TEST_CASE("membership table", "[.bench]") {
  for (const std::size_t Members : {150, 300, 600, 1'200}) {
    const std::size_t Before = heapBytes();
    MembershipTable Table = makeMembershipTable(Members);
    const std::size_t AllocatedBytes = heapBytes() - Before;
    std::vector<std::string> Announced;
    for (std::size_t I = 0; I < Members; ++I) {
      Member Record = sampleMember(I);
      ++Record.m_Counter;
      Announced.push_back(toAnnouncement(Record).SerializeAsString());
    }
    const double MergeTime = microsecondsPerRun(Members, [&](std::size_t I) {
      schema::Announcement Message;
      REQUIRE(Message.ParseFromString(Announced[I]));
      REQUIRE(merge(Table, memberFromSchema(Message, 0s, Begin + 1s), 0s,
                    Begin + 1s) == MergeResult::Refreshed);
    });
    const double SelectionTime = microsecondsPerRun(200, [&](std::size_t I) {
      const std::string Service = "assistant-" + std::to_string(I % 25);
      REQUIRE(eligibleViews(Table, Service, Begin + 1s).size() == Members / 25);
    });
    const double SweepTime = microsecondsPerRun(
        50, [&](std::size_t) { REQUIRE(sweep(Table, Begin + 1s).empty()); });
    const double DeltaTime = microsecondsPerRun(50, [&](std::size_t) {
      REQUIRE(deltasSince(Table, Table.m_LastChangeNumber, 200, Begin + 1s)
                  .m_Deltas.empty());
    });
    std::cout << "membership, " << Members
              << " members: " << AllocatedBytes / Members << " B a member, "
              << MergeTime << " us to read and merge an announcement, "
              << SelectionTime
              << " us for the candidates of one of 25 services, " << SweepTime
              << " us a sweep, " << DeltaTime << " us to find no differences\n";
  }
}

TEST_CASE("cost of a gossip message", "[.bench]") {
  for (const std::size_t Members : {0, 10, 50, 200}) {
    MembershipTable Table = makeMembershipTable(600);
    const std::string Bytes = sampleGossip(Members, 370).SerializeAsString();
    const double SerializeTime = microsecondsPerRun(200, [&](std::size_t) {
      REQUIRE(!sampleGossip(Members, 370).SerializeAsString().empty());
    });
    const double ParseTime = microsecondsPerRun(200, [&](std::size_t) {
      schema::GossipMessage Message;
      REQUIRE(Message.ParseFromString(Bytes));
      for (const schema::MemberRecord &Record : Message.members())
        merge(Table, memberFromSchema(Record.announcement(), 900ms, Begin),
              900ms, Begin);
    });
    std::cout << "gossip, 370 known entries, " << Members
              << " differences: " << SerializeTime << " us to make, "
              << ParseTime << " us to read and merge\n";
  }
}

TEST_CASE("fair queue", "[.bench]") {
  for (const std::size_t Requests : {1'000, 4'000, 16'000})
    for (const std::size_t PerCustomer : {1, 10}) {
      const std::size_t Before = heapBytes();
      FairQueue Queue;
      Queue.m_Limits.m_Total = Requests;
      const double EnqueueTime =
          microsecondsPerRun(Requests, [&](std::size_t I) {
            REQUIRE(enqueue(Queue, {I, I / PerCustomer, 400, Begin + 30s}, 1.0)
                        .m_Status == EnqueueStatus::Queued);
          });
      const std::size_t AllocatedBytes = heapBytes() - Before;
      const double DequeueTime = microsecondsPerRun(
          Requests, [&](std::size_t) { REQUIRE(dequeue(Queue).has_value()); });
      std::cout << "fair queue, " << Requests << " waiting, " << PerCustomer
                << " a customer: " << AllocatedBytes / Requests
                << " B a request, " << EnqueueTime << " us in, " << DequeueTime
                << " us out\n";
    }
}

TEST_CASE("expert map register", "[.bench]") {
  for (const std::size_t MapBytes : {4'096, 32'768, 262'144}) {
    const std::size_t Before = heapBytes();
    ExpertMapRegister Register;
    constexpr std::size_t Groups = 19;
    const double ActivationTime =
        microsecondsPerRun(Groups, [&](std::size_t I) {
          schema::ActivateExpertMap Command;
          Command.set_group("group-" + std::to_string(I));
          Command.set_map_version(1);
          Command.set_from_step(100);
          Command.set_map(std::string(MapBytes, 'm'));
          REQUIRE(activate(Register, Command).activated());
        });
    std::cout << "expert map register, maps of " << MapBytes
              << " B: " << (heapBytes() - Before) / Groups << " B a group, "
              << ActivationTime << " us an activation\n";
  }
}

TEST_CASE("commands of a non-idempotent request", "[.bench]") {
  schema::Command ClaimCommand;
  ClaimCommand.set_leader_time_ms(1'700'000'000'000);
  schema::Claim &Claim = *ClaimCommand.mutable_claim();
  Claim.set_customer("customer-12345");
  Claim.set_idempotency_key(std::string(36, 'k'));
  Claim.set_digest(0x0123456789abcdef);
  Claim.set_attempt(1);
  Claim.set_backend_server("backend-server-599");
  Claim.set_agent_incarnation(1'700'000'000'000);
  Claim.set_entry("entry-vm-369");
  Claim.set_deadline_ms(30'000);
  Claim.set_request_id(std::string(36, 'r'));
  std::cout << "claim: " << ClaimCommand.ByteSizeLong() << " B\n";
  for (const std::size_t AnswerBytes : {0, 300, 3'000}) {
    schema::Command SettleCommand;
    SettleCommand.set_leader_time_ms(1'700'000'000'000);
    schema::Settle &Settle = *SettleCommand.mutable_settle();
    Settle.set_customer("customer-12345");
    Settle.set_idempotency_key(std::string(36, 'k'));
    Settle.set_attempt(1);
    Settle.set_claim_number(1'000'000'000);
    Settle.set_outcome(schema::RAN);
    if (AnswerBytes > 0)
      Settle.mutable_answer()->set_body(std::string(AnswerBytes, 'a'));
    std::cout << "settlement with an answer of " << AnswerBytes
              << " B: " << SettleCommand.ByteSizeLong() << " B\n";
  }
}

TEST_CASE("reports of shares", "[.bench]") {
  for (const std::size_t Demands : {0, 20, 200}) {
    schema::ShareReportMessage Message;
    Message.set_entry(369);
    Message.set_generation(1'700'000'000'000);
    Message.set_sent_at_us(1'700'000'000'000'000);
    Message.set_term(12);
    Message.set_applied(1'000'000);
    for (std::size_t I = 0; I < Demands; ++I) {
      schema::ShareDemand &Demand = *Message.add_demands();
      Demand.set_customer(hash64("customer-" + std::to_string(I)));
      Demand.set_tokens_per_second(12.5);
    }
    std::cout << "share report with " << Demands
              << " demands: " << Message.ByteSizeLong() << " B\n";
  }
}

// The leader rebuilds the table of limits for each report, as
// ShareExchange::limits() does.
TEST_CASE("planner of shares", "[.bench]") {
  constexpr std::uint32_t Entries = 370;
  constexpr std::size_t DemandsPerEntry = 20;
  const LimitShareOptions Options;
  for (const std::size_t Customers : {150, 1'500, 15'000}) {
    const schema::Configuration Configuration =
        sampleConfiguration(Customers, 4);
    std::map<std::uint64_t, double> Limits;
    const double BuildTime = microsecondsPerRun(20, [&](std::size_t) {
      Limits.clear();
      for (const schema::Customer &Customer : Configuration.customers())
        Limits[hash64(Customer.name())] = Customer.max_tokens_per_second();
    });
    SharePlanner Planner = startPlanner(1, Entries, Options, Begin);
    const std::size_t Before = heapBytes();
    const double ReportTime =
        microsecondsPerRun(std::size_t{10} * Entries, [&](std::size_t I) {
          ShareReport Report;
          Report.m_Entry = static_cast<std::uint32_t>(I % Entries);
          Report.m_Generation = 1;
          Report.m_SentAt = Begin + 500ms * (1 + I / Entries);
          for (std::size_t D = 0; D < DemandsPerEntry; ++D)
            Report.m_Demands.push_back(
                {hash64("customer-" +
                        std::to_string((I * DemandsPerEntry + D) % Customers)),
                 12.5});
          handleReport(Planner, Report, Limits, Options, Report.m_SentAt);
        });
    std::cout << "planner of shares, " << Customers
              << " customers, 370 entries with 20 demands each: " << BuildTime
              << " us to build the limits, " << ReportTime
              << " us to answer a report, " << heapBytes() - Before
              << " B in memory\n";
  }
}

// Simulates the rounds of GossipService without processes: in each round every
// entry that has the configuration sends it to three random entries.
TEST_CASE("rounds until every entry has a configuration", "[.bench]") {
  for (const std::size_t Entries : {4, 37, 370}) {
    std::size_t MaxRounds = 0;
    for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
      Random Generator(Seed);
      std::vector<bool> HasConfiguration(Entries, false);
      HasConfiguration[0] = true;
      std::size_t Rounds = 0;
      for (; std::count(HasConfiguration.begin(), HasConfiguration.end(),
                        false) > 0;
           ++Rounds) {
        const std::vector<bool> Senders = HasConfiguration;
        for (std::size_t From = 0; From < Entries; ++From)
          for (int I = 0; Senders[From] && I < 3; ++I)
            HasConfiguration[uniform(Generator, std::size_t{0}, Entries - 1)] =
                true;
      }
      MaxRounds = std::max(MaxRounds, Rounds);
    }
    std::cout << "spread over " << Entries << " entries: at most " << MaxRounds
              << " rounds in 100 seeds\n";
  }
}
