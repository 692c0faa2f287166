// Contract of the stand-in: what it answers, what it records, and what each
// fault does.
#include "Standin/Standin.h"

#include "Core/WorkerPool.h"
#include "Http/HttpClient.h"
#include "Standin/DraftTokens.h"
#include "Standin/RunLog.h"

#include <boost/asio/post.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <future>
#include <thread>

using namespace mangocart;
using namespace std::chrono_literals;

namespace {

constexpr const char *StandinAddress = "127.23.1.1";

struct Outcome {
  HttpHead m_Head;
  std::string m_Body;
  std::optional<HttpErrorCode> m_Error;
};

class StandinFixture {
public:
  explicit StandinFixture(StandinOptions Options)
      : m_Workers(1), m_ClientWorkers(1),
        m_Player(m_Workers, complete(std::move(Options)),
                 [this] { ++m_Deaths; }),
        m_Client(m_ClientWorkers.worker(0)) {
    m_Player.listen().value();
    m_Workers.start();
    m_ClientWorkers.start();
  }
  ~StandinFixture() {
    m_ClientWorkers.stop();
    m_Workers.stop();
  }
  StandinFixture(const StandinFixture &) = delete;
  StandinFixture &operator=(const StandinFixture &) = delete;

  // Starts a call; Kept, if given, receives the call for cancelling.
  std::future<Outcome> start(HttpRequest Request,
                             std::shared_ptr<HttpCall> *Kept = nullptr) {
    const auto Result = std::make_shared<Outcome>();
    const auto Done = std::make_shared<std::promise<Outcome>>();
    std::promise<void> Sent;
    boost::asio::post(m_ClientWorkers.worker(0), [&] {
      auto Call = m_Client.send(
          {StandinAddress, m_Player.port()}, std::move(Request), 30s,
          {[Result](HttpHead Head) { Result->m_Head = std::move(Head); },
           [Result](std::string_view Piece) { Result->m_Body += Piece; },
           [Result, Done] { Done->set_value(*Result); },
           [Result, Done](HttpError Error) {
             Result->m_Error = Error.m_Code;
             Done->set_value(*Result);
           }});
      if (Kept)
        *Kept = std::move(Call);
      Sent.set_value();
    });
    Sent.get_future().wait();
    return Done->get_future();
  }
  Outcome call(HttpRequest Request) { return start(std::move(Request)).get(); }
  Outcome get(const char *Path) { return call({"GET", Path}); }
  void setFaults(std::string Json) {
    const Outcome Set = call({"POST", "/faults", {}, std::move(Json)});
    CHECK(Set.m_Head.m_Status == 200);
  }
  // Until GET of the path contains the text.
  bool waitFor(const char *Path, const std::string &Text) {
    for (int Look = 0; Look < 5000; ++Look) {
      if (get(Path).m_Body.find(Text) != std::string::npos)
        return true;
      std::this_thread::sleep_for(1ms);
    }
    return false;
  }
  void cancel(const std::shared_ptr<HttpCall> &Call) {
    boost::asio::post(m_ClientWorkers.worker(0), [Call] { Call->cancel(); });
  }
  int deaths() const { return m_Deaths; }

private:
  static StandinOptions complete(StandinOptions Options) {
    Options.m_Address = StandinAddress;
    Options.m_Port = 0;
    Options.m_LoadLag = 1ms;
    return Options;
  }

  WorkerPool m_Workers;
  WorkerPool m_ClientWorkers;
  std::atomic<int> m_Deaths{0};
  Standin m_Player;
  HttpClient m_Client;
};

StandinOptions plainOptions(std::string Log = {}) {
  StandinOptions Options;
  Options.m_Kind = StandinKind::Plain;
  Options.m_RunLog = std::move(Log);
  return Options;
}

HttpRequest booking(const std::string &Key) {
  return {"POST",
          "/bookings",
          {{"Idempotency-Key", Key}, {"Mangocart-Customer", "school"}},
          "row 7"};
}

HttpRequest draft(const std::string &Body) {
  return {"POST", "/v1/drafts", {{"Mangocart-Request", "r1"}}, Body};
}

std::string event(std::string_view Data) {
  return "data: " + std::string(Data) + "\n\n";
}

std::string draftEvents(std::uint64_t First, std::uint64_t Count) {
  std::string Text;
  for (std::uint64_t I = First; I < Count; ++I)
    Text += event(draftTokenData("peaches", I));
  return Text + event(DraftDoneData);
}

const std::string DraftBody = R"({"prompt":"peaches","max_tokens":5})";

// A run log of its own, removed at the end.
struct ScratchLog {
  ScratchLog()
      : m_Path((std::filesystem::temp_directory_path() /
                ("standin-" + std::to_string(hash()) + ".log"))
                   .string()) {
    std::filesystem::remove(m_Path);
  }
  ~ScratchLog() { std::filesystem::remove(m_Path); }
  ScratchLog(const ScratchLog &) = delete;
  ScratchLog &operator=(const ScratchLog &) = delete;

  std::vector<std::string> lines() const {
    std::ifstream File(m_Path);
    std::vector<std::string> Lines;
    for (std::string Line; std::getline(File, Line);)
      Lines.push_back(Line);
    return Lines;
  }

  std::string m_Path;

private:
  std::size_t hash() const {
    return std::hash<std::thread::id>()(std::this_thread::get_id()) ^
           reinterpret_cast<std::size_t>(this);
  }
};

} // namespace

TEST_CASE("an engine streams the tokens that were asked for") {
  StandinFixture Engine({});
  const Outcome Whole = Engine.call(draft(DraftBody));
  CHECK(findHeader(Whole.m_Head.m_Headers, "Content-Type") ==
        "text/event-stream");
  CHECK(Whole.m_Body ==
        event(R"({"request":"r1","checksum":")" + checksumText(DraftBody) +
              R"(","bytes":35,"tokens":5,"engine":"standin"})") +
            draftEvents(0, 5));
  const Outcome Resumed = Engine.call(
      draft(R"({"prompt":"peaches","max_tokens":5,"resume_from":3})"));
  CHECK(Resumed.m_Body == draftEvents(3, 5));
}

TEST_CASE("requests that make no sense get a reason") {
  struct Row {
    HttpRequest m_Request;
    unsigned m_Status;
    std::string m_Detail;
  };
  const std::vector<Row> Rows{
      {draft("{"), 400, "expected a JSON object"},
      {draft(R"({"prompt":1})"), 400, "'prompt': expected a string"},
      {draft(R"({"max_tokens":-1})"), 400, "'max_tokens'"},
      {draft(R"({"resume_from":"x"})"), 400, "'resume_from'"},
      {{"GET", "/nothing"}, 404, "no such page"},
      {{"PUT", "/faults"}, 405, "expected GET, POST or DELETE"},
      {{"POST", "/faults", {}, "[]"}, 400, "expected a JSON object of faults"},
      {{"POST", "/faults", {}, R"({"stal":true})"},
       400,
       "unknown fault 'stal'"},
      {{"POST", "/faults", {}, R"({"stall":1})"},
       400,
       "expected true or false"},
      {{"POST", "/faults", {}, R"({"delay_ms":-1})"}, 400, "milliseconds"},
      {{"POST", "/faults", {}, R"({"cache_event_gaps":2})"}, 400, "0 to 1"}};
  StandinFixture Engine({});
  for (const Row &Row : Rows) {
    INFO(Row.m_Detail);
    const Outcome Answer = Engine.call(Row.m_Request);
    CHECK(Answer.m_Head.m_Status == Row.m_Status);
    CHECK_THAT(Answer.m_Body, Catch::Contains(Row.m_Detail));
  }
}

TEST_CASE("a booking runs each time that it arrives and is recorded first") {
  ScratchLog Log;
  {
    StandinFixture Desk(plainOptions(Log.m_Path));
    CHECK_THAT(Desk.call(booking("k1")).m_Body,
               Catch::Contains(R"("serial":1)") &&
                   Catch::Contains(checksumText("row 7")));
    CHECK_THAT(Desk.call(booking("k1")).m_Body,
               Catch::Contains(R"("serial":2)"));
  }
  // A new process goes on with the next number.
  StandinFixture Desk(plainOptions(Log.m_Path));
  CHECK_THAT(Desk.call(booking("k2")).m_Body, Catch::Contains(R"("serial":3)"));
  const auto Lines = Log.lines();
  REQUIRE(Lines.size() == 3);
  CHECK(Lines[2] == R"({"key":"k2","customer":"school","digest":")" +
                        checksumText("row 7") + R"(","serial":3})");
}

TEST_CASE("what a fault does to a booking") {
  struct Row {
    std::string m_Faults;
    bool m_Runs;
    unsigned m_Status;
    std::optional<HttpErrorCode> m_Error;
  };
  constexpr auto Lost = HttpErrorCode::ConnectionLost;
  const std::vector<Row> Rows{
      {R"({"refuse":true})", false, 503, {}},
      {R"({"drop_answer":true})", true, 200, Lost},
      {R"({"cut_after_bytes":10})", true, 200, Lost},
      {R"({"cut_after_bytes":0})", true, 200, Lost},
      {R"({"delay_ms":5})", true, 200, {}},
      {R"({"slow_factor":2})", true, 200, {}},
      {R"({"refuse":true,"requests":1})", false, 503, {}},
      {R"({})", true, 200, {}}};
  for (const Row &Row : Rows) {
    INFO(Row.m_Faults);
    ScratchLog Log;
    StandinFixture Desk(plainOptions(Log.m_Path));
    Desk.setFaults(Row.m_Faults);
    const Outcome Answer = Desk.call(booking("k"));
    CHECK(Answer.m_Error == Row.m_Error);
    CHECK(Answer.m_Head.m_Status == Row.m_Status);
    CHECK(Log.lines().size() == (Row.m_Runs ? 1 : 0));
    // Afterwards all is well again.
    CHECK(Desk.call({"DELETE", "/faults"}).m_Head.m_Status == 200);
    CHECK(Desk.call(booking("k")).m_Head.m_Status == 200);
  }
}

TEST_CASE("a fault for the next requests resets itself") {
  StandinFixture Desk(plainOptions());
  Desk.setFaults(R"({"refuse":true,"requests":2})");
  CHECK(Desk.call(booking("k")).m_Head.m_Status == 503);
  CHECK(Desk.call(booking("k")).m_Head.m_Status == 503);
  CHECK(Desk.call(booking("k")).m_Head.m_Status == 200);
}

TEST_CASE("a stand-in told to die does so, at once or after a run") {
  ScratchLog Log;
  StandinFixture Desk(plainOptions(Log.m_Path));
  Desk.setFaults(R"({"die_after_run":true})");
  Desk.start(booking("k"));
  while (Desk.deaths() == 0)
    std::this_thread::sleep_for(1ms);
  CHECK(Log.lines().size() == 1);
  Desk.start({"POST", "/faults", {}, R"({"die":true})"});
  while (Desk.deaths() == 1)
    std::this_thread::sleep_for(1ms);
}

TEST_CASE("a draft is cut where the fault says, and never ends whole") {
  StandinFixture Engine({});
  const std::string Whole = Engine.call(draft(DraftBody)).m_Body;
  for (const std::size_t Cut :
       {std::size_t{0}, std::size_t{7}, Whole.size() - 1}) {
    Engine.setFaults(R"({"cut_after_bytes":)" + std::to_string(Cut) + "}");
    const Outcome Answer = Engine.call(draft(DraftBody));
    CHECK(Answer.m_Error == HttpErrorCode::ConnectionLost);
    CHECK(Answer.m_Body == Whole.substr(0, Cut));
  }
}

TEST_CASE(
    "requests beyond the slots wait, and a cancelled one frees its slot") {
  StandinOptions Options;
  Options.m_Slots = 1;
  StandinFixture Engine(Options);
  Engine.setFaults(R"({"stall":true})");
  std::shared_ptr<HttpCall> Running;
  std::shared_ptr<HttpCall> Waiting;
  auto First = Engine.start(draft(DraftBody), &Running);
  REQUIRE(Engine.waitFor("/load", R"("running":1)"));
  auto Second = Engine.start(draft(DraftBody), &Waiting);
  REQUIRE(Engine.waitFor("/load", R"("waiting":1)"));
  Engine.cancel(Waiting);
  CHECK(Engine.waitFor("/load", R"("waiting":0)"));
  auto Third = Engine.start(draft(DraftBody));
  REQUIRE(Engine.waitFor("/load", R"("waiting":1)"));
  Engine.cancel(Running);
  CHECK(Engine.waitFor("/load", R"("cancelled":2)"));
  CHECK(Engine.waitFor("/load", R"("waiting":0)"));
  Engine.call({"DELETE", "/faults"});
  CHECK_FALSE(Third.get().m_Error);
  CHECK(Engine.waitFor("/load", R"("outstanding":0)"));
}

TEST_CASE("cache events come late and with gaps when a fault says so") {
  StandinFixture Engine({});
  const std::string Prompt(64, 'p');
  Engine.call(draft(R"({"prompt":")" + Prompt + R"(","max_tokens":1})"));
  const auto Count = [&](const char *Path) {
    const std::string Body = Engine.get(Path).m_Body;
    std::size_t Found = 0;
    for (std::size_t At = Body.find("stored"); At != std::string::npos;
         At = Body.find("stored", At + 1))
      ++Found;
    return Found;
  };
  CHECK(Count("/cache-events") == 4);
  CHECK(Count("/cache-events?after=3") == 1);
  Engine.setFaults(R"({"cache_event_lag_ms":3600000})");
  CHECK(Count("/cache-events?after=0") == 0);
  Engine.setFaults(R"({"cache_event_gaps":0.5})");
  const std::size_t Shown = Count("/cache-events?after=0");
  CHECK(Shown < 4);
  CHECK(Count("/cache-events?after=0") == Shown);
}
