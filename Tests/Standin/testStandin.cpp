// Responses and logs of the simulated backend server, and the effect of each
// fault.
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
        m_Standin(m_Workers, withTestDefaults(std::move(Options)),
                  [this] { ++m_Terminations; }),
        m_Client(m_ClientWorkers.worker(0)) {
    m_Standin.listen().value();
    m_Workers.start();
    m_ClientWorkers.start();
  }
  ~StandinFixture() {
    m_ClientWorkers.stop();
    m_Workers.stop();
  }
  StandinFixture(const StandinFixture &) = delete;
  StandinFixture &operator=(const StandinFixture &) = delete;

  // Starts a call. CallHandle, if given, receives the call, for cancelling it.
  std::future<Outcome> start(HttpRequest Request,
                             std::shared_ptr<HttpCall> *CallHandle = nullptr) {
    const auto Result = std::make_shared<Outcome>();
    const auto Done = std::make_shared<std::promise<Outcome>>();
    std::promise<void> Sent;
    boost::asio::post(m_ClientWorkers.worker(0), [&] {
      auto Call = m_Client.send(
          {StandinAddress, m_Standin.port()}, std::move(Request), 30s,
          {[Result](HttpHead Head) { Result->m_Head = std::move(Head); },
           [Result](std::string_view Chunk) { Result->m_Body += Chunk; },
           [Result, Done] { Done->set_value(*Result); },
           [Result, Done](HttpError Error) {
             Result->m_Error = Error.m_Code;
             Done->set_value(*Result);
           }});
      if (CallHandle)
        *CallHandle = std::move(Call);
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
  // Waits until the response to GET of the path contains the text.
  bool waitFor(const char *Path, const std::string &Text) {
    for (int Attempt = 0; Attempt < 5000; ++Attempt) {
      if (get(Path).m_Body.find(Text) != std::string::npos)
        return true;
      std::this_thread::sleep_for(1ms);
    }
    return false;
  }
  void cancel(const std::shared_ptr<HttpCall> &Call) {
    boost::asio::post(m_ClientWorkers.worker(0), [Call] { Call->cancel(); });
  }
  int terminations() const { return m_Terminations; }

private:
  static StandinOptions withTestDefaults(StandinOptions Options) {
    Options.m_Address = StandinAddress;
    Options.m_Port = 0;
    Options.m_LoadLag = 1ms;
    return Options;
  }

  WorkerPool m_Workers;
  WorkerPool m_ClientWorkers;
  std::atomic<int> m_Terminations{0};
  Standin m_Standin;
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

// Path of a run log that is removed at the end of the test.
struct TemporaryLog {
  TemporaryLog()
      : m_Path((std::filesystem::temp_directory_path() /
                ("standin-" + std::to_string(hash()) + ".log"))
                   .string()) {
    std::filesystem::remove(m_Path);
  }
  ~TemporaryLog() { std::filesystem::remove(m_Path); }
  TemporaryLog(const TemporaryLog &) = delete;
  TemporaryLog &operator=(const TemporaryLog &) = delete;

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

TEST_CASE("an engine streams the requested tokens") {
  StandinFixture Engine({});
  const Outcome Complete = Engine.call(draft(DraftBody));
  CHECK(findHeader(Complete.m_Head.m_Headers, "Content-Type") ==
        "text/event-stream");
  CHECK(Complete.m_Body ==
        event(R"({"request":"r1","checksum":")" + checksumText(DraftBody) +
              R"(","bytes":35,"tokens":5,"engine":"standin"})") +
            draftEvents(0, 5));
  const Outcome Resumed = Engine.call(
      draft(R"({"prompt":"peaches","max_tokens":5,"resume_from":3})"));
  CHECK(Resumed.m_Body == draftEvents(3, 5));
}

TEST_CASE("invalid requests are rejected with a reason") {
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
    const Outcome Response = Engine.call(Row.m_Request);
    CHECK(Response.m_Head.m_Status == Row.m_Status);
    CHECK_THAT(Response.m_Body, Catch::Contains(Row.m_Detail));
  }
}

TEST_CASE("every booking request is executed and logged before the response") {
  TemporaryLog Log;
  {
    StandinFixture Desk(plainOptions(Log.m_Path));
    CHECK_THAT(Desk.call(booking("k1")).m_Body,
               Catch::Contains(R"("serial":1)") &&
                   Catch::Contains(checksumText("row 7")));
    CHECK_THAT(Desk.call(booking("k1")).m_Body,
               Catch::Contains(R"("serial":2)"));
  }
  // A new process continues with the next serial number.
  StandinFixture Desk(plainOptions(Log.m_Path));
  CHECK_THAT(Desk.call(booking("k2")).m_Body, Catch::Contains(R"("serial":3)"));
  const auto Lines = Log.lines();
  REQUIRE(Lines.size() == 3);
  CHECK(Lines[2] == R"({"key":"k2","customer":"school","digest":")" +
                        checksumText("row 7") + R"(","serial":3})");
}

TEST_CASE("effects of faults on a booking") {
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
    TemporaryLog Log;
    StandinFixture Desk(plainOptions(Log.m_Path));
    Desk.setFaults(Row.m_Faults);
    const Outcome Response = Desk.call(booking("k"));
    CHECK(Response.m_Error == Row.m_Error);
    CHECK(Response.m_Head.m_Status == Row.m_Status);
    CHECK(Log.lines().size() == (Row.m_Runs ? 1 : 0));
    // After a reset bookings succeed again.
    CHECK(Desk.call({"DELETE", "/faults"}).m_Head.m_Status == 200);
    CHECK(Desk.call(booking("k")).m_Head.m_Status == 200);
  }
}

TEST_CASE("a fault with a request count is reset automatically") {
  StandinFixture Desk(plainOptions());
  Desk.setFaults(R"({"refuse":true,"requests":2})");
  CHECK(Desk.call(booking("k")).m_Head.m_Status == 503);
  CHECK(Desk.call(booking("k")).m_Head.m_Status == 503);
  CHECK(Desk.call(booking("k")).m_Head.m_Status == 200);
}

TEST_CASE("the die faults terminate immediately or after a booking") {
  TemporaryLog Log;
  StandinFixture Desk(plainOptions(Log.m_Path));
  Desk.setFaults(R"({"die_after_run":true})");
  Desk.start(booking("k"));
  while (Desk.terminations() == 0)
    std::this_thread::sleep_for(1ms);
  CHECK(Log.lines().size() == 1);
  Desk.start({"POST", "/faults", {}, R"({"die":true})"});
  while (Desk.terminations() == 1)
    std::this_thread::sleep_for(1ms);
}

TEST_CASE("a draft is truncated after the given number of bytes") {
  StandinFixture Engine({});
  const std::string Complete = Engine.call(draft(DraftBody)).m_Body;
  for (const std::size_t Limit :
       {std::size_t{0}, std::size_t{7}, Complete.size() - 1}) {
    Engine.setFaults(R"({"cut_after_bytes":)" + std::to_string(Limit) + "}");
    const Outcome Response = Engine.call(draft(DraftBody));
    CHECK(Response.m_Error == HttpErrorCode::ConnectionLost);
    CHECK(Response.m_Body == Complete.substr(0, Limit));
  }
}

TEST_CASE("requests beyond the slot count wait, and cancelling frees a slot") {
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

TEST_CASE("faults delay cache events and drop some of them") {
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
  const std::size_t Published = Count("/cache-events?after=0");
  CHECK(Published < 4);
  CHECK(Count("/cache-events?after=0") == Published);
}
