// Announcements, answers and steering.
#include "Replica.h"

#include <algorithm>
#include <memory>
#include <thread>

#include <sys/socket.h>

namespace review {

namespace {

std::string makeAnswer(const std::string &Status, const std::string &Headers,
                       const std::string &Body) {
  return "HTTP/1.1 " + Status + "\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace

Replica::Replica(ReplicaOptions Options)
    : m_Options(std::move(Options)),
      m_Born(nowMs() + m_Options.m_ClockError.count()),
      m_Record(m_Options.m_RecordFile, std::ios::app) {}

void Replica::run() {
  const int Work = listenAt(m_Options.m_Address);
  const int Steering = listenAt(m_Options.m_Steering);
  std::thread([this] { announce(); }).detach();
  std::thread([this, Steering] {
    serve(Steering, &Replica::handleSteering);
  }).detach();
  serve(Work, &Replica::handleRequests);
}

void Replica::serve(int Listener, void (Replica::*Handle)(Connection &)) {
  while (true) {
    const int Socket = ::accept(Listener, nullptr, nullptr);
    if (Socket < 0)
      continue;
    std::thread([this, Socket, Handle] {
      Connection Peer(Socket);
      Peer.setTimeout(std::chrono::seconds(30));
      (this->*Handle)(Peer);
    }).detach();
  }
}

void Replica::handleRequests(Connection &Peer) {
  while (const auto Request = Peer.read())
    if (!Peer.write(answer(*Request)))
      return;
}

std::string Replica::answer(const Message &Request) {
  if (Request.target() == "/report")
    return makeAnswer("200 OK", "Content-Type: application/json\r\n",
                      "{\"stage\":\"prefill_decode\",\"models\":[],"
                      "\"busy\":false,\"sequence\":0,\"waiting\":0,"
                      "\"running\":" +
                          std::to_string(m_Running) +
                          ",\"kv_used\":0,\"kv_total\":1000,\"handles\":0,"
                          "\"born\":" +
                          std::to_string(m_Born) + "}");
  const std::string Instance =
      "X-Mangocart-Instance-Id: " + m_Options.m_Name + "\r\n";
  if (Request.target() == "/health") {
    std::string Headers = Instance;
    if (const std::int64_t Cold = coldRemaining(); Cold > 0)
      Headers += "X-Mangocart-Cold-Ms: " + std::to_string(Cold) + "\r\n";
    return makeAnswer(m_HasLeft ? "503 Service Unavailable" : "200 OK", Headers,
                      "");
  }
  const std::string Expected = Request.header("x-mangocart-expect-instance");
  if (!Expected.empty() && Expected != m_Options.m_Name)
    return makeAnswer("421 Misdirected Request", Instance, "");
  return answerWork(Request);
}

std::string Replica::answerWork(const Message &Request) {
  const std::string Id = Request.header("x-mangocart-request-id");
  record("runs " + Id + (coldRemaining() > 0 ? " cold" : " warm"));
  ++m_Running;
  std::this_thread::sleep_for(m_Options.m_WorkTime);
  --m_Running;
  return makeAnswer("200 OK",
                    "X-Mangocart-Request-Id: " + Id +
                        "\r\nX-Mangocart-Server-Stamp: " + m_Options.m_Name +
                        "." + Id + "\r\n",
                    "done " + Id + "\n");
}

std::int64_t Replica::coldRemaining() const {
  return std::max<std::int64_t>(0, m_ColdUntil - nowMs());
}

std::string Replica::makeHeartbeat() {
  return "{\"service\":\"" + m_Options.m_Service + "\",\"address\":\"" +
         m_Options.m_Address.m_Address + ":" +
         std::to_string(m_Options.m_Address.m_Port) + "\",\"zone\":\"" +
         m_Options.m_Zone + "\",\"version\":\"v1\",\"slots\":12,\"state\":\"" +
         (m_IsDraining ? "draining" : "ready") +
         "\","
         "\"cold_remaining_ms\":" +
         std::to_string(coldRemaining()) +
         ",\"sequence\":" + std::to_string(++m_Sequence) +
         ",\"born\":" + std::to_string(m_Born) + "}";
}

bool Replica::deliver(const std::string &Method, const std::string &Body) {
  for (std::size_t I = 0; I < m_Options.m_Controls.size(); ++I) {
    const Endpoint &To =
        m_Options.m_Controls[m_Node % m_Options.m_Controls.size()];
    const auto Answer = call(To, Method, "/instances/" + m_Options.m_Name,
                             {{"Content-Type", "application/json"}}, Body,
                             std::chrono::seconds(1));
    record(Method + " at " + To.m_Address + ": " +
           std::to_string(Answer ? Answer->status() : 0) + " " + Body);
    if (Answer && Answer->status() / 100 == 2)
      return true;
    ++m_Node;
  }
  return false;
}

void Replica::announce() {
  while (!m_HasLeft) {
    deliver("PUT", makeHeartbeat());
    std::this_thread::sleep_for(m_Options.m_HeartbeatInterval);
  }
}

// POST /hold-heartbeat: makes a heartbeat that doesn't arrive yet.
// POST /late-heartbeat: it arrives at the node that the body names.
// POST /drain: reports that it drains, and serves on.
// POST /leave: leaves by DELETE, and serves on.
// POST /cold: becomes cold for as many milliseconds as the body says.
void Replica::handleSteering(Connection &Peer) {
  while (const auto Request = Peer.read()) {
    bool IsDone = true;
    const std::string Order = Request->target();
    if (Order == "/hold-heartbeat") {
      m_LateHeartbeat = makeHeartbeat();
    } else if (Order == "/drain") {
      m_IsDraining = true;
      IsDone = deliver("PUT", makeHeartbeat());
    } else if (Order == "/leave") {
      m_HasLeft = true;
      IsDone = deliver("DELETE", "");
    } else if (Order == "/late-heartbeat") {
      const auto Answer = call(parseEndpoint(Request->m_Body), "PUT",
                               "/instances/" + m_Options.m_Name,
                               {{"Content-Type", "application/json"}},
                               m_LateHeartbeat, std::chrono::seconds(1));
      IsDone = Answer.has_value();
      record("late PUT at " + Request->m_Body + ": " +
             std::to_string(Answer ? Answer->status() : 0) + " " +
             m_LateHeartbeat);
    } else if (Order == "/cold") {
      m_ColdUntil = nowMs() + std::stoll(Request->m_Body);
      record("becomes cold for " + Request->m_Body + " ms");
    } else {
      IsDone = false;
    }
    Peer.write(
        makeAnswer(IsDone ? "200 OK" : "503 Service Unavailable", "", ""));
  }
}

void Replica::record(const std::string &Line) {
  const std::lock_guard Lock(m_RecordMutex);
  m_Record << nowMs() << " " << m_Options.m_Name << " " << Line << std::endl;
}

} // namespace review
