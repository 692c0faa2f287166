// Order of records, health, and deltas of the membership table.
#include "Membership/MembershipTable.h"

#include "Core/Random.h"
#include "Peer.pb.h"

#include <catch2/catch.hpp>
#include <malloc.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <numeric>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

const TimePoint Begin(1000s);

Member member(const std::string &Name, std::uint64_t Incarnation = 1,
              std::uint64_t Counter = 1,
              MemberState State = MemberState::Serving) {
  Member Record;
  Record.m_BackendServer = Name;
  Record.m_Service = "booking";
  Record.m_AvailabilityZone = "zone-" + Name.substr(0, 1);
  Record.m_Incarnation = Incarnation;
  Record.m_Counter = Counter;
  Record.m_State = State;
  return Record;
}

void receiveHeartbeat(MembershipTable &Table, const std::string &Name,
                      TimePoint Now) {
  const TableEntry *Known = find(Table, Name);
  const std::uint64_t Counter = Known ? Known->m_Member.m_Counter + 1 : 1;
  merge(Table, member(Name, 1, Counter), 0s, Now);
}

// Names of the candidates; a question mark marks the avoided ones.
std::string candidates(const MembershipTable &Table, TimePoint Now) {
  std::string Names;
  for (const Candidate &Each : eligible(Table, "booking", Now))
    Names += (Names.empty() ? "" : " ") + Each.m_Member.m_BackendServer +
             (Each.m_Avoided ? "?" : "");
  return Names;
}

} // namespace

TEST_CASE("a record is merged by incarnation, stage and counter") {
  using State = MemberState;
  struct Row {
    Member m_Known;
    Member m_New;
    MergeResult m_Result;
  };
  const Row Rows[] = {
      {member("a", 1, 5), member("a", 1, 6), MergeResult::Refreshed},
      {member("a", 1, 5), member("a", 1, 5), MergeResult::Stale},
      {member("a", 1, 5), member("a", 1, 4), MergeResult::Stale},
      {member("a", 1, 5), member("a", 2, 1), MergeResult::Joined},
      {member("a", 2, 1), member("a", 1, 9), MergeResult::Stale},
      {member("a", 1, 5), member("a", 1, 4, State::Leaving),
       MergeResult::StateChanged},
      {member("a", 1, 5, State::Leaving), member("a", 1, 6),
       MergeResult::Stale},
      {member("a", 1, 5, State::Left), member("a", 1, 6, State::Leaving),
       MergeResult::Stale},
      {member("a", 1, 5, State::Leaving), member("a", 1, 1, State::Left),
       MergeResult::StateChanged},
      {member("a", 1, 5, State::Left), member("a", 2, 1), MergeResult::Joined},
      {member("a", 1, 5), member("a", 1, 6, State::Unavailable),
       MergeResult::StateChanged},
      {member("a", 1, 6, State::Unavailable), member("a", 1, 7),
       MergeResult::StateChanged},
      {member("a", 1, 6, State::Unavailable), member("a", 1, 5),
       MergeResult::Stale},
  };
  for (const Row &TestRow : Rows) {
    CAPTURE(TestRow.m_Known.m_Incarnation, TestRow.m_Known.m_Counter,
            TestRow.m_New.m_Incarnation, TestRow.m_New.m_Counter);
    MembershipTable Table;
    merge(Table, TestRow.m_Known, 0s, Begin);
    CHECK(merge(Table, TestRow.m_New, 0s, Begin + 1s) == TestRow.m_Result);
    const bool IsMerged = TestRow.m_Result != MergeResult::Stale;
    CHECK(find(Table, "a")->m_Member ==
          (IsMerged ? TestRow.m_New : TestRow.m_Known));
    CHECK(find(Table, "a")->m_LastHeartbeatAt ==
          (IsMerged ? Begin + 1s : Begin));
  }
}

TEST_CASE("any order of late and duplicated messages gives the same members") {
  std::vector<Member> Messages;
  for (std::uint64_t Incarnation = 1; Incarnation <= 3; ++Incarnation)
    for (std::uint64_t Counter = 1; Counter <= 6; ++Counter)
      Messages.push_back(member("a", Incarnation, Counter,
                                Counter > 4   ? MemberState::Left
                                : Counter > 3 ? MemberState::Leaving
                                              : MemberState::Serving));
  for (std::uint64_t Seed = 1; Seed <= 500; ++Seed) {
    CAPTURE(Seed);
    Random Generator(Seed);
    MembershipTable Table;
    std::uint64_t LeftIncarnation = 0;
    std::vector<Member> Order = Messages;
    Order.insert(Order.end(), Messages.begin(), Messages.end());
    for (std::size_t I = 0; I < Order.size(); ++I) {
      std::swap(Order[I], Order[uniform(Generator, I, Order.size() - 1)]);
      merge(Table, Order[I], 0s, Begin + Duration(I));
      if (Order[I].m_State != MemberState::Serving)
        LeftIncarnation = std::max(LeftIncarnation, Order[I].m_Incarnation);
      for (const Candidate &Each : eligible(Table, "booking", Begin))
        REQUIRE(Each.m_Member.m_Incarnation > LeftIncarnation);
    }
    CHECK(find(Table, "a")->m_Member == member("a", 3, 6, MemberState::Left));
  }
}

TEST_CASE("candidates by heartbeats and failed calls") {
  struct Row {
    const char *m_Name;
    std::function<void(MembershipTable &)> m_Setup;
    Duration m_After;
    std::string m_Candidates;
  };
  // Zone a has three servers and zone b one; all sent a heartbeat at the start.
  const auto Receive = [](const std::vector<std::string> &Names, Duration At) {
    return [=](MembershipTable &Table) {
      for (const std::string &Name : Names)
        receiveHeartbeat(Table, Name, Begin + At);
    };
  };
  const auto Fail = [](int Times, std::uint64_t Incarnation) {
    return [=](MembershipTable &Table) {
      for (int I = 0; I < Times; ++I)
        noteCallFailed(Table, "a1", Incarnation, Begin);
    };
  };
  const Row Rows[] = {
      {"all heartbeats received", Receive({}, 0s), 1s, "a1 a2 a3 b1"},
      {"one without heartbeats is avoided", Receive({"a2", "a3", "b1"}, 1s), 2s,
       "a1? a2 a3 b1"},
      {"one without heartbeats for long is lost",
       Receive({"a2", "a3", "b1"}, 4s), 5s, "a2 a3 b1"},
      {"most of a zone without heartbeats: the observer may be isolated",
       Receive({"a3", "b1"}, 4s), 5s, "a1 a2 a3 b1"},
      {"all without heartbeats: the observer may be isolated", Receive({}, 0s),
       30s, "a1 a2 a3 b1"},
      {"zone without heartbeats beyond the isolation window: other zones",
       Receive({"b1"}, 60s), 61s, "b1"},
      {"only lost servers", Receive({}, 0s), 61s, "a1? a2? a3? b1?"},
      {"one lost long ago isn't counted with one recently silent",
       [&](MembershipTable &Table) {
         Receive({"a2"}, 68s)(Table);
         Receive({"a3", "b1"}, 70s)(Table);
       },
       70500ms, "a2? a3 b1"},
      {"lost one by one: no isolation suspected", Receive({"a3", "b1"}, 60s),
       61s, "a3 b1"},
      {"failed call", Fail(1, 1), 499ms, "a1? a2 a3 b1"},
      {"failed call, avoidance ended", Fail(1, 1), 500ms, "a1 a2 a3 b1"},
      {"two failed calls", Fail(2, 1), 999ms, "a1? a2 a3 b1"},
      {"many failed calls, maximum avoidance", Fail(40, 1), 8s, "a1 a2 a3 b1"},
      {"failed call of an older incarnation", Fail(1, 0), 1ms, "a1 a2 a3 b1"},
      {"failed call in a zone without heartbeats", Fail(5, 1), 5s,
       "a1? a2 a3 b1"},
      {"successful call ends the avoidance",
       [&](MembershipTable &Table) {
         Fail(5, 1)(Table);
         noteCallSucceeded(Table, "a1", 1);
       },
       1ms, "a1 a2 a3 b1"},
      {"leaving takes effect at once",
       [](MembershipTable &Table) {
         merge(Table, member("a1", 1, 2, MemberState::Leaving), 0s, Begin);
       },
       0s, "a2 a3 b1"},
      {"backend server doesn't answer its agent",
       [](MembershipTable &Table) {
         merge(Table, member("a1", 1, 2, MemberState::Unavailable), 0s, Begin);
       },
       0s, "a2 a3 b1"},
  };
  for (const Row &TestRow : Rows) {
    INFO(TestRow.m_Name);
    MembershipTable Table;
    for (const char *Name : {"a1", "a2", "a3", "b1"})
      receiveHeartbeat(Table, Name, Begin);
    TestRow.m_Setup(Table);
    CHECK(candidates(Table, Begin + TestRow.m_After) == TestRow.m_Candidates);
    CHECK(eligible(Table, "assistant", Begin).empty());
  }
}

TEST_CASE("a tombstone outlives late messages and is then removed") {
  MembershipTable Table;
  merge(Table, member("a1", 1, 9, MemberState::Left), 0s, Begin);
  CHECK(merge(Table, member("a1", 1, 10), 0s, Begin + 9min) ==
        MergeResult::Stale);
  sweep(Table, Begin + 10min);
  CHECK(Table.m_Entries.size() == 1);
  sweep(Table, Begin + 10min + 5s);
  CHECK(Table.m_Entries.empty());
  // A record that others received long ago doesn't add it again.
  CHECK(merge(Table, member("a1", 1, 10), 5s, Begin + 11min) ==
        MergeResult::Stale);
  CHECK(Table.m_Entries.empty());
}

// Guards against a departure that a process that starts later doesn't learn of:
// it would take a late heartbeat for that of a new server.
TEST_CASE("a departure is passed on and added at any age of its tombstone") {
  MembershipTable Table;
  const Duration LostAfter = Table.m_Limits.m_LostAfter;
  const Duration End = LostAfter + Table.m_Limits.m_TombstoneRetention;
  merge(Table, member("a", 1, 1, MemberState::Left), 0s, Begin);
  merge(Table, member("b"), 0s, Begin);
  const TimePoint Later = Begin + LostAfter + 1min;
  const DeltaBatch Batch = deltasSince(Table, 0, 10, Later);
  REQUIRE(Batch.m_Deltas.size() == 1);
  CHECK(Batch.m_Deltas[0].m_Member.m_BackendServer == "a");
  MembershipTable Started;
  const MemberDelta &Delta = Batch.m_Deltas[0];
  CHECK(merge(Started, Delta.m_Member, Delta.m_HeartbeatAge, Later) ==
        MergeResult::Joined);
  // A late heartbeat changes nothing, a new start of the server does.
  CHECK(merge(Started, member("a", 1, 9), 0s, Later) == MergeResult::Stale);
  CHECK(candidates(Started, Later).empty());
  CHECK(merge(Started, member("a", 2, 1), 0s, Later) == MergeResult::Joined);
  CHECK(candidates(Started, Later) == "a");
  // Its time ends with that of the tombstone.
  MembershipTable Last;
  CHECK(merge(Last, Delta.m_Member, End - 1ms, Later) == MergeResult::Joined);
  Last.m_Entries.clear();
  CHECK(merge(Last, Delta.m_Member, End, Later) == MergeResult::Stale);
  CHECK(merge(Last, member("b"), LostAfter, Later) == MergeResult::Stale);
}

TEST_CASE("the sweep reports each change of health once") {
  using Health = MemberHealth;
  MembershipTable Table;
  receiveHeartbeat(Table, "a1", Begin);
  CHECK(sweep(Table, Begin + 1s).empty());
  CHECK(sweep(Table, Begin + 2s) ==
        std::vector<HealthChange>{{"a1", 1, Health::Healthy, Health::Suspect}});
  CHECK(sweep(Table, Begin + 3s).empty());
  CHECK(sweep(Table, Begin + 6s) ==
        std::vector<HealthChange>{{"a1", 1, Health::Suspect, Health::Lost}});
  receiveHeartbeat(Table, "a1", Begin + 7s);
  CHECK(sweep(Table, Begin + 7s) ==
        std::vector<HealthChange>{{"a1", 1, Health::Lost, Health::Healthy}});
}

TEST_CASE(
    "deltas are bounded, and heartbeats are propagated at a limited rate") {
  MembershipTable Table;
  for (int I = 0; I < 5; ++I)
    receiveHeartbeat(Table, "a" + std::to_string(I), Begin);
  DeltaBatch Batch = deltasSince(Table, 0, 3, Begin);
  CHECK(Batch.m_Deltas.size() == 3);
  CHECK(Batch.m_More);
  Batch = deltasSince(Table, Batch.m_Next, 3, Begin);
  CHECK(Batch.m_Deltas.size() == 2);
  CHECK(!Batch.m_More);
  const std::uint64_t Since = Batch.m_Next;
  receiveHeartbeat(Table, "a1", Begin + 1s);
  CHECK(deltasSince(Table, Since, 9, Begin + 1s).m_Deltas.empty());
  receiveHeartbeat(Table, "a1", Begin + 2s);
  Batch = deltasSince(Table, Since, 9, Begin + 3s);
  REQUIRE(Batch.m_Deltas.size() == 1);
  CHECK(Batch.m_Deltas[0].m_HeartbeatAge == Duration(1s));
  merge(Table, member("a2", 1, 2, MemberState::Leaving), 0s, Begin + 3s);
  Batch = deltasSince(Table, Batch.m_Next, 9, Begin + 3s);
  REQUIRE(Batch.m_Deltas.size() == 1);
  CHECK(Batch.m_Deltas[0].m_Member.m_State == MemberState::Leaving);
}

TEST_CASE("a record survives conversion to the schema and back") {
  for (const MemberState State :
       {MemberState::Serving, MemberState::Leaving, MemberState::Left,
        MemberState::Unavailable}) {
    Member Sent = member("a1", 4, 9, State);
    Sent.m_Address = "127.0.0.1";
    Sent.m_PeerPort = 8082;
    Sent.m_Outstanding = 3;
    Sent.m_ReportedLoad = 0.5;
    Sent.m_ConfigurationVersion = 12;
    Sent.m_LoadMeasuredAt = Begin - 300ms;
    schema::MemberRecord Message;
    deltaToSchema({Sent, Duration(100ms)}, Begin, Message);
    CHECK(Message.heard_ms_ago() == 100);
    CHECK(memberFromSchema(Message.announcement(), 100ms, Begin) == Sent);
  }
}

TEST_CASE("what a member costs", "[.bench]") {
  for (const std::size_t Count : {600, 6'000, 60'000}) {
    malloc_trim(0);
    const std::size_t Before = mallinfo2().uordblks;
    MembershipTable Table;
    for (std::size_t I = 0; I < Count; ++I) {
      Member Record = member("backend-server-" + std::to_string(I));
      Record.m_Service = "assistant-service";
      Record.m_AvailabilityZone = "zone-" + std::to_string(I % 12);
      merge(Table, Record, 0s, Begin);
    }
    schema::MemberRecord Message;
    const DeltaBatch Batch = deltasSince(Table, 0, 1, Begin);
    deltaToSchema(Batch.m_Deltas.at(0), Begin, Message);
    const std::size_t Used = mallinfo2().uordblks - Before;
    const auto Start = std::chrono::steady_clock::now();
    const std::size_t CandidateCount =
        eligibleViews(Table, "assistant-service", Begin).size();
    const std::chrono::duration<double, std::micro> LookupTime =
        std::chrono::steady_clock::now() - Start;
    std::cout << Count << " members: " << Used / Count
              << " B a member in memory, " << Message.ByteSizeLong()
              << " B a record in gossip, " << CandidateCount
              << " candidates in " << LookupTime.count() << " us\n";
  }
}

namespace {

Member rank(const std::string &Name, std::uint64_t Counter, std::uint64_t Epoch,
            bool Broken) {
  Member Record = member(Name, 1, Counter);
  Record.m_Group = "g";
  Record.m_GroupEpoch = Epoch;
  Record.m_GroupBroken = Broken;
  return Record;
}

} // namespace

TEST_CASE("a broken rank group gets no work until it is formed again") {
  MembershipTable Table;
  merge(Table, rank("a1", 1, 1, false), 0s, Begin);
  merge(Table, rank("a2", 1, 1, false), 0s, Begin);
  merge(Table, member("b1"), 0s, Begin);
  CHECK(candidates(Table, Begin) == "a1 a2 b1");
  CHECK(merge(Table, rank("a2", 2, 1, true), 0s, Begin) ==
        MergeResult::StateChanged);
  CHECK(isGroupBroken(Table, "g"));
  CHECK(candidates(Table, Begin) == "b1");
  // A rank that hasn't detected the failure yet.
  merge(Table, rank("a1", 2, 1, false), 0s, Begin);
  CHECK(candidates(Table, Begin) == "b1");
  merge(Table, rank("a1", 3, 2, false), 0s, Begin);
  CHECK_FALSE(isGroupBroken(Table, "g"));
  CHECK(candidates(Table, Begin) == "a1 a2 b1");
}

// Guards against a gateway that learns seconds later that a server is cold
// again, and against a push to all gateways with each heartbeat of a cold one.
TEST_CASE("a server that becomes cold is a change, its countdown is none") {
  MembershipTable Table;
  std::uint64_t Counter = 0;
  const auto Announce = [&](Duration At, Duration Remaining) {
    Member Record = member("a", 1, ++Counter);
    if (Remaining > 0s)
      Record.m_ColdUntil = Begin + At + Remaining;
    return merge(Table, Record, 0s, Begin + At);
  };
  CHECK(Announce(0s, 0s) == MergeResult::Joined);
  CHECK(Announce(250ms, 10s) == MergeResult::StateChanged);
  const std::uint64_t Change = Table.m_LastChangeNumber;
  // Announcements that are up to 200 ms late.
  CHECK(Announce(500ms, 9750ms) == MergeResult::Refreshed);
  CHECK(Announce(950ms, 9500ms) == MergeResult::Refreshed);
  CHECK(Announce(1s, 9250ms) == MergeResult::Refreshed);
  CHECK(Table.m_LastChangeNumber == Change);
  // Cold again, for longer.
  CHECK(Announce(2s, 10s) == MergeResult::StateChanged);
  CHECK(Announce(11900ms, 100ms) == MergeResult::Refreshed);
  CHECK(Announce(12100ms, 0s) == MergeResult::Refreshed);
  // No longer cold before the time.
  CHECK(Announce(13s, 10s) == MergeResult::StateChanged);
  CHECK(Announce(14s, 0s) == MergeResult::StateChanged);
  // Cold for a moment.
  CHECK(Announce(15s, 300ms) == MergeResult::StateChanged);
}

TEST_CASE("a record that is passed on names the rest of the cold time") {
  Member Sent = member("a");
  Sent.m_LoadMeasuredAt = Begin;
  Sent.m_ColdUntil = Begin + 10s;
  // The heartbeat was received 3 s ago.
  schema::MemberRecord Message;
  deltaToSchema({Sent, 3s}, Begin + 3s, Message);
  CHECK(Message.announcement().cold_remaining_ms() == 10000);
  const Member Received =
      memberFromSchema(Message.announcement(), 3s, Begin + 3s);
  CHECK(Received.m_ColdUntil == Begin + 10s);
  // Passed on after its end.
  schema::MemberRecord Late;
  deltaToSchema({Sent, 0s}, Begin + 11s, Late);
  CHECK(Late.announcement().cold_remaining_ms() == 0);
  CHECK(memberFromSchema(Late.announcement(), 0s, Begin).m_ColdUntil ==
        TimePoint());
}

TEST_CASE("a refusal marks a group as broken before it is announced") {
  MembershipTable Table;
  merge(Table, rank("a1", 1, 1, false), 0s, Begin);
  merge(Table, rank("a2", 1, 1, false), 0s, Begin);
  noteGroupBroken(Table, "a1");
  CHECK(candidates(Table, Begin) == "");
  merge(Table, rank("a2", 2, 2, false), 0s, Begin);
  CHECK(candidates(Table, Begin) == "a1 a2");
  // A server without a group.
  merge(Table, member("b1"), 0s, Begin);
  noteGroupBroken(Table, "b1");
  CHECK(candidates(Table, Begin) == "a1 a2 b1");
}

TEST_CASE("two servers at one address: the older incarnation has left") {
  MembershipTable Table;
  Member Old = member("a1", 5);
  Old.m_Address = "10.1.0.9";
  Old.m_PeerPort = 80;
  Member New = Old;
  New.m_BackendServer = "a2";
  New.m_Incarnation = 9;
  REQUIRE(merge(Table, Old, 0s, Begin) == MergeResult::Joined);
  REQUIRE(merge(Table, New, 0s, Begin) == MergeResult::Joined);
  markReplacedAsLeft(Table, "a2", Begin);
  CHECK(candidates(Table, Begin) == "a2");
  // A delayed heartbeat of an unknown server.
  Member Late = Old;
  Late.m_BackendServer = "a3";
  Late.m_Incarnation = 7;
  REQUIRE(merge(Table, Late, 0s, Begin) == MergeResult::Joined);
  markReplacedAsLeft(Table, "a3", Begin);
  CHECK(candidates(Table, Begin) == "a2");
}

// Guards against a tombstone that ends the server that was given the address:
// by another machine's clock its incarnation may be the lower one.
TEST_CASE("a server that has left doesn't end another one at its address") {
  const auto At = [](Member Record) {
    Record.m_Address = "10.0.0.1";
    Record.m_PeerPort = 80;
    return Record;
  };
  for (const MemberState State : {MemberState::Left, MemberState::Leaving}) {
    MembershipTable Table;
    merge(Table, At(member("new", 1)), 0s, Begin);
    REQUIRE(merge(Table, At(member("old", 2, 1, State)),
                  Table.m_Limits.m_LostAfter, Begin) == MergeResult::Joined);
    markReplacedAsLeft(Table, "old", Begin);
    CHECK(candidates(Table, Begin) == "new");
  }
}

TEST_CASE("a server leaves even if the sender doesn't know its incarnation") {
  MembershipTable Table;
  merge(Table, member("a", 7, 4), 0s, Begin);
  Member LeftRecord = member("a", 0, 0, MemberState::Left);
  merge(Table, LeftRecord, 0s, Begin);
  CHECK(candidates(Table, Begin) == "");
  // A late heartbeat of the same incarnation doesn't add it again, a new
  // incarnation does.
  merge(Table, member("a", 7, 5), 0s, Begin);
  CHECK(candidates(Table, Begin) == "");
  merge(Table, member("a", 8, 1), 0s, Begin);
  CHECK(candidates(Table, Begin) == "a");
}

// Guards against gateways that start after a departure and go on sending,
// because they heard of it before they heard of the server from another voter.
TEST_CASE("a departure without an incarnation merges in any order") {
  using State = MemberState;
  struct Received {
    Member m_Record;
    Duration m_Age;
  };
  const Received Earlier{member("a", 5, 3), 1s};
  const Received Last{member("a", 5, 4), 400ms};
  const Received Departure{member("a", 0, 0, State::Left), 200ms};
  // The same departure, from a voter that knew the incarnation.
  const Received Known{member("a", 5, 4, State::Left), 200ms};
  const Received Restarted{member("a", 6, 1), 100ms};
  struct Row {
    std::string m_Name;
    std::vector<Received> m_Records;
    std::uint64_t m_Incarnation;
    State m_State;
  };
  const std::vector<Row> Rows = {
      {"one voter each", {Last, Departure}, 5, State::Left},
      {"two heartbeats", {Earlier, Last, Departure}, 5, State::Left},
      {"two departures", {Earlier, Departure, Known}, 5, State::Left},
      {"twice", {Last, Departure, Departure, Last}, 5, State::Left},
      {"started again", {Last, Departure, Restarted}, 6, State::Serving},
      {"started again, known",
       {Known, Departure, Restarted},
       6,
       State::Serving},
      {"only the new start", {Departure, Restarted}, 6, State::Serving},
  };
  for (const Row &R : Rows) {
    std::vector<std::size_t> Order(R.m_Records.size());
    std::iota(Order.begin(), Order.end(), 0);
    do {
      MembershipTable Table;
      std::string Text;
      for (const std::size_t I : Order) {
        Text += std::to_string(I);
        merge(Table, R.m_Records[I].m_Record, R.m_Records[I].m_Age, Begin);
      }
      INFO(R.m_Name << ", order " << Text);
      const Member &Merged = find(Table, "a")->m_Member;
      CHECK(Merged.m_Incarnation == R.m_Incarnation);
      CHECK(Merged.m_State == R.m_State);
      CHECK(candidates(Table, Begin) ==
            (R.m_State == State::Serving ? "a" : ""));
    } while (std::next_permutation(Order.begin(), Order.end()));
  }
}
