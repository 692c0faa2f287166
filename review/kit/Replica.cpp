// Stand-in for a replica: announces itself and answers requests.
//
//   --work-ms N        time until the answer is sent or its first piece is
//   --pieces N         pieces of the body (1)
//   --piece-ms N       time between two pieces
//   --piece-bytes N    size of a piece (800)
//   --framing KIND     length, chunks or close: how the body ends
//   --events           the pieces are events of a stream, which goes on after
//                      the event that Last-Event-Id names
//   --unframed-percent N  answers that end with their connection, whatever the
//                      framing; only while it has an effect, see --on-ms
//   --no-model         the replica has no model: a request without an id is
//                      rejected, GET /report as well
//   --lost-percent N   requests that run and whose connection is then reset
//   --extra-percent N  answers that are sent a second time, at the point where
//                      the next answer is expected on the connection
//   --on-ms N          these happen for this time, and then not for --off-ms
#include "Wire.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <random>
#include <thread>

using namespace review;

namespace {

struct Options {
  std::map<std::string, std::string> m_Values;
  std::vector<Endpoint> m_Control;

  std::string text(const std::string &Name, const std::string &Default) const {
    const auto Found = m_Values.find(Name);
    return Found == m_Values.end() ? Default : Found->second;
  }
  int number(const std::string &Name, int Default) const {
    return std::atoi(text(Name, std::to_string(Default)).c_str());
  }
};

Options parse(int Argc, char **Argv) {
  Options Out;
  for (int I = 1; I < Argc; ++I) {
    const std::string Name = Argv[I];
    if (Name == "--events" || Name == "--no-model")
      Out.m_Values[Name] = "yes";
    else if (I + 1 == Argc)
      std::exit(2);
    else if (Name == "--control")
      Out.m_Control.push_back(parseEndpoint(Argv[++I]));
    else
      Out.m_Values[Name] = Argv[++I];
  }
  return Out;
}

std::uint64_t unixMilliseconds() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

// Announces the replica at the same node until a call fails there.
void announce(const Options &Given) {
  const std::uint64_t Born = unixMilliseconds();
  const std::string Id = Given.text("--id", "");
  const Milliseconds Interval(Given.number("--heartbeat-ms", 1200));
  std::size_t Node = 0;
  for (std::uint64_t Sequence = 1;; ++Sequence) {
    const std::string Body =
        "{\"service\":\"" + Given.text("--service", "") + "\",\"address\":\"" +
        Given.text("--address", "") + "\",\"zone\":\"" +
        Given.text("--zone", "") +
        "\",\"version\":\"v1\",\"slots\":12,\"state\":\"ready\","
        "\"cold_remaining_ms\":0,\"sequence\":" +
        std::to_string(Sequence) + ",\"born\":" + std::to_string(Born) + "}";
    for (std::size_t Try = 0; Try < Given.m_Control.size(); ++Try) {
      const unsigned Status =
          call(Given.m_Control[Node % Given.m_Control.size()], "PUT",
               "/instances/" + Id, Body, Milliseconds(1000))
              .m_Status;
      if (Status >= 200 && Status < 300)
        break;
      ++Node;
    }
    std::this_thread::sleep_for(Interval);
  }
}

std::string pieceOf(const Options &Given, int Number) {
  std::string Text(static_cast<std::size_t>(Given.number("--piece-bytes", 800)),
                   static_cast<char>('a' + Number % 26));
  if (Given.text("--events", "").empty())
    return Text;
  return "id: " + std::to_string(Number) + "\ndata: " + Text + "\n\n";
}

std::string chunkOf(const std::string &Piece) {
  char Size[32];
  std::snprintf(Size, sizeof(Size), "%zx\r\n", Piece.size());
  return Size + Piece + "\r\n";
}

std::string headOf(unsigned Status, const Head &Request,
                   const std::string &Fields) {
  return "HTTP/1.1 " + std::to_string(Status) + " -\r\n" +
         "X-Mangocart-Request-Id: " +
         Request.field("X-Mangocart-Request-Id").value_or("") + "\r\n" +
         Fields + "\r\n";
}

// Waits without missing that the connection closes; false if it does.
bool pauseOn(Socket &Connection, Milliseconds Time) {
  const TimePoint Until = Clock::now() + Time;
  while (Clock::now() < Until) {
    if (Connection.isClosedByPeer())
      return false;
    std::this_thread::sleep_for(
        std::min<Clock::duration>(Milliseconds(5), Until - Clock::now()));
  }
  return true;
}

class Server {
public:
  explicit Server(Options Given)
      : m_Given(std::move(Given)), m_Id(m_Given.text("--id", "")),
        m_Record(m_Given.text("--record", "/dev/null"), m_Id) {}

  void run() {
    Socket Listener = listenOn(parseEndpoint(m_Given.text("--address", "")));
    if (!Listener.isOpen())
      std::exit(2);
    std::thread([this] { announce(m_Given); }).detach();
    m_Record.write("started");
    while (true) {
      Socket Accepted =
          acceptFrom(Listener, Clock::now() + std::chrono::hours(1));
      if (Accepted.isOpen())
        std::thread([this, Connection = std::move(Accepted)]() mutable {
          serve(Connection);
        }).detach();
    }
  }

private:
  void serve(Socket &Connection) {
    const auto Far = [] { return Clock::now() + std::chrono::seconds(20); };
    std::string Extra;
    while (const auto Request = readHead(Connection, Far())) {
      const Body Content = readBody(Connection, *Request, false, Far());
      if (Content.m_End != BodyEnd::Whole || Request->m_Words.size() < 2)
        return;
      if (!Extra.empty() && !Connection.send(Extra, Far()))
        return;
      Extra.clear();
      if (!answer(Connection, *Request, Content.m_Bytes.size(), Extra))
        return;
    }
  }

  // Returns whether the connection stays open. Extra is to be sent before the
  // next answer.
  bool answer(Socket &Connection, const Head &Request, std::size_t BodyBytes,
              std::string &Extra) {
    const TimePoint Deadline = Clock::now() + std::chrono::seconds(60);
    const std::string &Path = Request.m_Words[1];
    if (Path == "/health" || Path == "/report") {
      const std::string Text = stateOf(Request, Path);
      if (happens("--extra-percent")) {
        m_Record.write("will send its answer to " + Path + " twice");
        Extra = Text;
      }
      return Connection.send(Text, Deadline);
    }
    const auto Expected = Request.field("X-Mangocart-Expect-Instance");
    if (Expected && *Expected != m_Id)
      return Connection.send(
          headOf(421, Request,
                 "X-Mangocart-Not-Run: 1\r\nContent-Length: 0\r\n"),
          Deadline);
    const std::string Id = Request.field("X-Mangocart-Request-Id").value_or("");
    m_Record.write("run " + Id + " body " + std::to_string(BodyBytes));
    if (happens("--lost-percent")) {
      const bool IsWaited =
          pauseOn(Connection, Milliseconds(m_Given.number("--work-ms", 60)));
      m_Record.write((IsWaited ? "loses the answer of " : "dropped ") + Id);
      Connection.reset();
      return false;
    }
    std::string Text;
    const std::string Framing = happens("--unframed-percent")
                                    ? "close"
                                    : m_Given.text("--framing", "length");
    const bool Sent = respond(Connection, Request, Deadline, Framing, Text);
    m_Record.write((Sent ? "done " : "dropped ") + Id);
    if (happens("--extra-percent"))
      Extra = Text;
    return Sent && Framing != "close";
  }

  std::string stateOf(const Head &Request, const std::string &Path) const {
    if (Path == "/report" && !m_Given.text("--no-model", "").empty())
      return "HTTP/1.1 400 Bad Request\r\nX-Mangocart-Not-Run: 1\r\n"
             "Content-Length: 0\r\n\r\n";
    const std::string Text =
        Path == "/health"
            ? ""
            : "{\"stage\":\"prefill_decode\",\"models\":[{\"name\":\"m\","
              "\"version\":1,\"adapters\":[]}],\"busy\":false,\"sequence\":2,"
              "\"waiting\":1,\"running\":1,\"kv_used\":0,\"kv_total\":90000,"
              "\"handles\":0}";
    return "HTTP/1.1 200 OK\r\nX-Mangocart-Instance-Id: " + m_Id +
           "\r\nContent-Type: application/json\r\nContent-Length: " +
           std::to_string(Text.size()) + "\r\n" +
           (Request.field("X-Mangocart-Request-Id")
                ? "X-Mangocart-Request-Id: " +
                      *Request.field("X-Mangocart-Request-Id") + "\r\n"
                : "") +
           "\r\n" + Text;
  }

  bool happens(const std::string &Option) {
    const int Percent = m_Given.number(Option, 0);
    const auto On = Milliseconds(m_Given.number("--on-ms", 1));
    const auto Off = Milliseconds(m_Given.number("--off-ms", 0));
    if (Percent == 0 || (Clock::now() - m_Started) % (On + Off) >= On)
      return false;
    const std::lock_guard Lock(m_RandomMutex);
    return std::uniform_int_distribution<int>(0, 99)(m_Random) < Percent;
  }

  // Text is all that was sent.
  bool respond(Socket &Connection, const Head &Request, TimePoint Deadline,
               const std::string &Framing, std::string &Text) {
    if (!pauseOn(Connection, Milliseconds(m_Given.number("--work-ms", 60))))
      return false;
    const int Pieces = m_Given.number("--pieces", 1);
    const int First =
        1 + std::atoi(Request.field("Last-Event-Id").value_or("0").c_str());
    std::size_t Length = 0;
    for (int I = First; I <= Pieces; ++I)
      Length += pieceOf(m_Given, I).size();
    std::string Fields = "X-Mangocart-Server-Stamp: " + m_Id + "." +
                         std::to_string(++m_Stamp) + "\r\n";
    Fields += m_Given.text("--events", "").empty()
                  ? "Content-Type: text/plain\r\n"
                  : "Content-Type: text/event-stream\r\n";
    if (Framing == "length")
      Fields += "Content-Length: " + std::to_string(Length) + "\r\n";
    else
      Fields += Framing == "chunks" ? "Transfer-Encoding: chunked\r\n"
                                    : "Connection: close\r\n";
    const auto Send = [&](const std::string &Bytes) {
      Text += Bytes;
      return Connection.send(Bytes, Deadline);
    };
    if (Framing == "close")
      m_Record.write("answers without a length " +
                     Request.field("X-Mangocart-Request-Id").value_or(""));
    if (!Send(headOf(200, Request, Fields)))
      return false;
    for (int I = First; I <= Pieces; ++I) {
      if (I > First &&
          !pauseOn(Connection, Milliseconds(m_Given.number("--piece-ms", 0))))
        return false;
      const std::string Piece = pieceOf(m_Given, I);
      if (!Send(Framing == "chunks" ? chunkOf(Piece) : Piece))
        return false;
    }
    return Framing != "chunks" || Send("0\r\n\r\n");
  }

  const Options m_Given;
  const std::string m_Id;
  Record m_Record;
  const TimePoint m_Started = Clock::now();
  std::atomic<int> m_Stamp = 0;
  std::mutex m_RandomMutex;
  std::mt19937 m_Random{std::random_device{}()};
};

} // namespace

int main(int Argc, char **Argv) { Server(parse(Argc, Argv)).run(); }
