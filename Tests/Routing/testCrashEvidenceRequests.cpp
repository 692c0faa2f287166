// Evidence against whole requests that crash servers, case by case and in
// simulated crashes. Guards against one request that ends one server after the
// other, and against sound requests that are held back because they were at a
// crash.
#include "Core/Random.h"
#include "Routing/CrashEvidence.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <optional>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1000s};
const std::string Service = "bookings";

SuspectId id(const std::string &Digest) {
  return {SuspectKind::Request, Digest};
}

Suspect suspect(const std::string &Digest) { return {Service, id(Digest)}; }

void answer(CrashEvidence &Evidence, const std::string &Digest, TimePoint At) {
  recordSoundAnswer(Evidence, Service, {id(Digest)}, At);
}

// A hundred sound requests in the ten seconds before the start, a fifth of them
// the same.
CrashEvidence evidence() {
  CrashEvidence Evidence;
  for (int I = 0; I < 100; ++I)
    answer(Evidence, I % 5 == 0 ? "popular" : fmt::format("s{}", I),
           Start - 10s + I * 100ms);
  return Evidence;
}

CrashMerge crash(CrashEvidence &Evidence, const std::string &Server,
                 const std::vector<std::string> &Digests, TimePoint At) {
  std::vector<SuspectId> Ids;
  Ids.reserve(Digests.size());
  for (const std::string &Each : Digests)
    Ids.push_back(id(Each));
  return mergeCrash(
      Evidence, {Server, 1},
      {Service,
       At,
       {{"g1",
         makeCrashReport(Evidence, Service,
                         static_cast<std::uint32_t>(Ids.size()), Ids, At)}}},
      At);
}

SuspectState state(const CrashEvidence &Evidence, const std::string &Digest,
                   TimePoint Now, bool IsLastUnit = false) {
  return suspectState(Evidence, suspect(Digest), IsLastUnit, Now);
}

} // namespace

TEST_CASE("one crash alone restricts no request that was there") {
  CrashEvidence E = evidence();
  CHECK_FALSE(mayBecomeRestricted(E, suspect("a"), 1, Start));
  CHECK(crash(E, "e1", {"a", "b", "popular"}, Start).m_Restricted.empty());
  CHECK(state(E, "a", Start) == SuspectState::Free);
  // After a second one it isn't sent to another server before it is known
  // whether its server has ended.
  CHECK(mayBecomeRestricted(E, suspect("a"), 1, Start + 100ms));
}

TEST_CASE("a request at two crashes without a common cause is held") {
  CrashEvidence E = evidence();
  crash(E, "e1", {"bad", "s"}, Start);
  const CrashMerge Merged = crash(E, "e2", {"bad", "t"}, Start + 3s);
  CHECK(Merged.m_Restricted ==
        std::map<Suspect, SuspectState>{{suspect("bad"), SuspectState::Held}});
  CHECK(state(E, "s", Start + 3s) == SuspectState::Free);
  CHECK(implicatingServers(E, suspect("bad")) ==
        std::vector<std::string>{"e1", "e2"});
}

TEST_CASE("a request at several crashes within a second is on probation") {
  CrashEvidence E = evidence();
  crash(E, "e1", {"bad"}, Start);
  crash(E, "e2", {"bad"}, Start + 80ms);
  CHECK(state(E, "bad", Start + 80ms) == SuspectState::Probation);
  crash(E, "e3", {"bad"}, Start + 160ms);
  CHECK(state(E, "bad", Start + 160ms) == SuspectState::Probation);
  // Its next crash convicts it.
  crash(E, "e4", {"bad"}, Start + 5s);
  CHECK(state(E, "bad", Start + 5s) == SuspectState::Held);
}

TEST_CASE("a rare request is held at its second crash, minutes later") {
  CrashEvidence E = evidence();
  crash(E, "e1", {"bad"}, Start);
  crash(E, "e2", {"bad"}, Start + 9min);
  CHECK(state(E, "bad", Start + 9min) == SuspectState::Held);
  CrashEvidence Later = evidence();
  crash(Later, "e1", {"bad"}, Start);
  crash(Later, "e2", {"bad"}, Start + 11min);
  CHECK(state(Later, "bad", Start + 11min) == SuspectState::Free);
}

TEST_CASE("a sound answer ends the evidence against a request") {
  CrashEvidence E = evidence();
  crash(E, "e1", {"a"}, Start);
  crash(E, "e2", {"a"}, Start + 3s);
  REQUIRE(state(E, "a", Start + 3s) == SuspectState::Held);
  CHECK(recordSoundAnswer(E, Service, {id("a")}, Start + 30s) ==
        std::vector{suspect("a")});
  CHECK(state(E, "a", Start + 30s) == SuspectState::Free);
}

TEST_CASE("a request that many callers send is at crashes by chance") {
  CrashEvidence E = evidence();
  crash(E, "e1", {"popular", "x1", "x2", "x3"}, Start);
  crash(E, "e2", {"popular", "x4", "x5", "x6"}, Start + 3s);
  CHECK(state(E, "popular", Start + 3s) == SuspectState::Free);
}

TEST_CASE("a zone without power restricts none of the requests there") {
  CrashEvidence E = evidence();
  for (int I = 0; I < 12; ++I)
    crash(E, fmt::format("e{}", I),
          {fmt::format("r{}", I), fmt::format("r{}", I + 1)}, Start + I * 5ms);
  for (int I = 0; I < 13; ++I)
    CHECK(state(E, fmt::format("r{}", I), Start + 60ms) == SuspectState::Free);
}

TEST_CASE("two requests that crash servers at the same time are both held") {
  CrashEvidence E = evidence();
  for (int Round = 0; Round < 2; ++Round)
    for (int I = 0; I < 4; ++I)
      crash(E, fmt::format("e{}-{}", Round, I), {I % 2 == 0 ? "bad1" : "bad2"},
            Start + Round * 3s + I * 80ms);
  CHECK(state(E, "bad1", Start + 4s) == SuspectState::Held);
  CHECK(state(E, "bad2", Start + 4s) == SuspectState::Held);
}

TEST_CASE("a request whose digest is also the ID of a part isn't confused with "
          "it") {
  CrashEvidence E = evidence();
  crash(E, "e1", {"x"}, Start);
  crash(E, "e2", {"x"}, Start + 3s);
  CHECK(state(E, "x", Start + 3s) == SuspectState::Held);
  CHECK(suspectState(E, {Service, {SuspectKind::PromptPart, "x"}}, false,
                     Start + 3s) == SuspectState::Free);
}

TEST_CASE("requests that are sound or at other crashes don't push out one that "
          "is held") {
  CrashEvidence E = evidence();
  crash(E, "e1", {"bad"}, Start);
  crash(E, "e2", {"bad"}, Start + 3s);
  for (int I = 0; I < 100000; ++I)
    answer(E, fmt::format("flood{}", I), Start + 4s);
  for (int I = 0; I < 200; ++I)
    crash(E, fmt::format("f{}", I), {fmt::format("other{}", I)},
          Start + 4s + I * 10ms);
  CHECK(state(E, "bad", Start + 7s) == SuspectState::Held);
  CHECK(E.m_RecentRequests[Service].m_Order.size() ==
        E.m_Options.m_MaxRecentRequests);
  CHECK(E.m_RecentRequests[Service].m_ByDigest.size() ==
        E.m_Options.m_MaxRecentRequests);
  CHECK(E.m_SoundAnswers.empty());
}

namespace {

struct RequestModel {
  double m_RequestsPerSecond = 60.0;
  std::size_t m_Servers = 6;
  // A fifth of the sound requests are one of these, the others are unique.
  std::size_t m_Popular = 5;
  // Callers send a request that failed again at once, so often.
  unsigned m_Retries = 1;
  // Requests that crash servers, and how often each of them comes.
  std::size_t m_Crashing = 0;
  double m_CrashingPerSecond = 0.0;
  // Crashes with other causes, each of this many servers at once.
  double m_OtherCrashesPerSecond = 0.0;
  std::size_t m_ServersPerCrash = 1;
  Duration m_Restart = 3s;
};

struct RequestModelResult {
  std::size_t m_Crashes = 0;
  // Most arrivals of a crashing request after its third crash.
  std::size_t m_SentAfterThirdCrash = 0;
  std::size_t m_Sound = 0;
  // Sound requests that were rejected because of the evidence.
  std::size_t m_SoundRejected = 0;
};

// One gateway sees everything, sends each request to two servers at most and
// tries requests on probation one at a time. An answer takes 100 ms; a crashing
// request crashes its server then.
class RequestSimulation {
public:
  RequestSimulation(const RequestModel &Model, std::uint64_t Seed)
      : m_Model(Model), m_Random(Seed), m_UpAt(Model.m_Servers, Start),
        m_Bad(Model.m_Crashing) {}

  RequestModelResult run() {
    constexpr Duration Step = 10ms;
    constexpr Duration Length = 90s;
    for (m_Now = Start; m_Now < Start + Length; m_Now += Step) {
      if (happens(m_Model.m_RequestsPerSecond, Step))
        arrive(soundDigest(), std::nullopt);
      for (std::size_t I = 0; I < m_Bad.size(); ++I)
        if (m_Now > Start + 5s && happens(m_Model.m_CrashingPerSecond, Step))
          arrive(fmt::format("bad{}", I), I);
      if (happens(m_Model.m_OtherCrashesPerSecond, Step))
        for (std::size_t I = 0; I < m_Model.m_ServersPerCrash; ++I)
          crashServer(uniform(m_Random, 0, m_Model.m_Servers - 1));
      endAnswers();
    }
    for (const Crashing &Each : m_Bad)
      m_Result.m_SentAfterThirdCrash =
          std::max(m_Result.m_SentAfterThirdCrash, Each.m_SentAfterThird);
    return m_Result;
  }

private:
  struct Running {
    std::string m_Digest;
    std::optional<std::size_t> m_Crashing;
    std::size_t m_Server = 0;
    TimePoint m_EndsAt;
    unsigned m_Attempt = 1;
    unsigned m_Retry = 0;
    bool m_IsTrial = false;
  };
  struct Crashing {
    std::vector<TimePoint> m_Crashes;
    std::size_t m_SentAfterThird = 0;
  };

  bool happens(double PerSecond, Duration Step) {
    return uniformReal(m_Random) <
           PerSecond * std::chrono::duration<double>(Step).count();
  }

  std::string soundDigest() {
    ++m_Result.m_Sound;
    return m_Model.m_Popular > 0 && uniform(m_Random, 0, 4) == 0
               ? fmt::format("popular{}",
                             uniform(m_Random, 0, m_Model.m_Popular - 1))
               : fmt::format("own{}", m_Result.m_Sound);
  }

  void arrive(const std::string &Digest, std::optional<std::size_t> Crashing) {
    send({Digest, Crashing, 0, {}, 1, 0, false});
  }

  void send(Running Request) {
    std::vector<std::size_t> Up;
    for (std::size_t I = 0; I < m_UpAt.size(); ++I)
      if (m_UpAt[I] <= m_Now)
        Up.push_back(I);
    const SuspectState State = suspectState(
        m_Evidence, suspect(Request.m_Digest), Up.size() <= 1, m_Now);
    const bool IsTried =
        State == SuspectState::Probation &&
        std::none_of(m_Running.begin(), m_Running.end(), [&](const Running &R) {
          return R.m_IsTrial && R.m_Digest == Request.m_Digest;
        });
    if (State == SuspectState::Held ||
        (State == SuspectState::Probation && !IsTried)) {
      m_Result.m_SoundRejected += Request.m_Crashing ? 0 : 1;
      return;
    }
    if (Up.empty())
      return;
    Request.m_IsTrial = IsTried;
    Request.m_Server = Up[uniform(m_Random, 0, Up.size() - 1)];
    Request.m_EndsAt = m_Now + 100ms;
    if (Request.m_Crashing) {
      Crashing &Bad = m_Bad[*Request.m_Crashing];
      if (Bad.m_Crashes.size() >= 3 && m_Now > Bad.m_Crashes[2] + 3s)
        ++Bad.m_SentAfterThird;
    }
    m_Running.push_back(std::move(Request));
  }

  void crashServer(std::size_t Server) {
    if (m_UpAt[Server] > m_Now)
      return;
    m_UpAt[Server] = m_Now + m_Model.m_Restart;
    std::vector<Running> Lost;
    std::erase_if(m_Running, [&](const Running &Each) {
      if (Each.m_Server == Server)
        Lost.push_back(Each);
      return Each.m_Server == Server;
    });
    std::vector<std::string> Digests;
    Digests.reserve(Lost.size());
    for (const Running &Each : Lost)
      Digests.push_back(Each.m_Digest);
    crash(m_Evidence, fmt::format("e{}", ++m_Result.m_Crashes), Digests, m_Now);
    for (Running &Each : Lost) {
      if (++Each.m_Attempt > 2) {
        Each.m_Attempt = 1;
        if (++Each.m_Retry > m_Model.m_Retries)
          continue;
      }
      send(Each);
    }
  }

  void endAnswers() {
    for (std::size_t I = 0; I < m_Running.size();) {
      const Running Each = m_Running[I];
      if (Each.m_EndsAt > m_Now) {
        ++I;
        continue;
      }
      if (Each.m_Crashing) {
        m_Bad[*Each.m_Crashing].m_Crashes.push_back(m_Now);
        crashServer(Each.m_Server);
      } else {
        answer(m_Evidence, Each.m_Digest, m_Now);
        m_Running.erase(m_Running.begin() + static_cast<std::ptrdiff_t>(I));
      }
      // The list has changed.
      I = 0;
    }
  }

  const RequestModel m_Model;
  Random m_Random;
  TimePoint m_Now = Start;
  std::vector<TimePoint> m_UpAt;
  std::vector<Crashing> m_Bad;
  std::vector<Running> m_Running;
  CrashEvidence m_Evidence;
  RequestModelResult m_Result;
};

} // namespace

TEST_CASE("crashes with other causes hold back at most one in a thousand sound "
          "requests") {
  const RequestModel Models[] = {
      {60, 6, 5, 1, 0, 0, 0.33, 1, 1200ms}, {60, 12, 5, 3, 0, 0, 1.0, 1, 3s},
      {60, 12, 0, 3, 0, 0, 0.2, 4, 3s},     {90, 60, 5, 1, 0, 0, 0.05, 20, 5s},
      {60, 6, 1, 1, 0, 0, 0.33, 2, 1200ms},
  };
  for (const RequestModel &Model : Models) {
    std::size_t Crashes = 0;
    std::size_t Sound = 0;
    std::size_t Rejected = 0;
    for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
      const RequestModelResult Result = RequestSimulation(Model, Seed).run();
      Crashes += Result.m_Crashes;
      Sound += Result.m_Sound;
      Rejected += Result.m_SoundRejected;
    }
    REQUIRE(Crashes > 0);
    INFO(Rejected << " of " << Sound << " rejected, " << Model.m_Servers
                  << " servers");
    CHECK(Rejected * 1000 <= Sound);
  }
}

TEST_CASE("requests that crash servers are kept from them, sound ones are "
          "served") {
  const RequestModel Models[] = {
      {60, 6, 5, 1, 1, 0.4, 0, 1, 3s},  {60, 6, 5, 2, 2, 2.0, 0, 1, 3s},
      {13, 3, 5, 2, 2, 2.0, 0, 1, 3s},  {60, 6, 5, 1, 1, 1.0, 0.33, 1, 1200ms},
      {90, 60, 5, 1, 3, 5.0, 0, 1, 3s},
  };
  for (const RequestModel &Model : Models) {
    std::size_t Sound = 0;
    std::size_t Rejected = 0;
    for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
      const RequestModelResult Result = RequestSimulation(Model, Seed).run();
      INFO("rate " << Model.m_CrashingPerSecond << ", seed " << Seed
                   << ", crashes " << Result.m_Crashes << ", rejected "
                   << Result.m_SoundRejected << " of " << Result.m_Sound);
      CHECK(Result.m_SentAfterThirdCrash <= 3);
      Sound += Result.m_Sound;
      Rejected += Result.m_SoundRejected;
    }
    INFO(Rejected << " of " << Sound << " rejected, " << Model.m_Servers
                  << " servers");
    CHECK(Rejected * 100 <= Sound);
  }
}
