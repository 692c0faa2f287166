// Announcements and answers of the replicas.
#include "Gateways/BrokenFleet.h"

#include "Gateways/GatewayDeployment.h"

#include <fmt/format.h>

namespace mangocart::test {

namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t ReplicaPort = 9001;
constexpr unsigned FirstHost = 100;
constexpr unsigned Cycle = 5;
constexpr unsigned BrokenOfCycle = 2;

std::string name(unsigned Index) { return fmt::format("replica-{}", Index); }

} // namespace

std::string answerFields(const std::string &RequestId) {
  return fmt::format(
      "X-Mangocart-Request-Id: {}\r\nX-Mangocart-Server-Stamp: s\r\n",
      RequestId);
}

BrokenFleet::BrokenFleet(const GatewayDeployment &Deployment,
                         unsigned Replicas) {
  std::map<std::string, HttpTarget> Announced;
  for (unsigned I = 0; I < Replicas; ++I) {
    const HttpTarget At = {
        fmt::format("{}.{}", Deployment.engineNetwork(), FirstHost + I),
        ReplicaPort};
    Announced[name(I)] = At;
    m_Servers.push_back(std::make_unique<BrokenServer>(
        At.m_Address, At.m_Port,
        [this, I](const std::string &Head) { return answer(I, Head); }));
  }
  m_Announcer = std::make_unique<ReplicaAnnouncer>(Deployment.voter(),
                                                   std::move(Announced));
}

void BrokenFleet::setForm(Form Next) {
  const std::lock_guard Lock(m_Mutex);
  m_Form = std::move(Next);
}

void BrokenFleet::setProbeAnswer(std::string Text) {
  const std::lock_guard Lock(m_Mutex);
  m_ProbeAnswer = std::move(Text);
}

std::set<std::string> BrokenFleet::broken() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Broken;
}

unsigned BrokenFleet::repeated() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Repeated;
}

BrokenAnswer BrokenFleet::answer(unsigned Index, const std::string &Head) {
  const std::string Id = headerOf(Head, "X-Mangocart-Request-Id");
  const std::lock_guard Lock(m_Mutex);
  if (Id.empty() && !m_ProbeAnswer.empty())
    return {m_ProbeAnswer};
  if (Id.empty())
    return {fmt::format("HTTP/1.1 200 OK\r\nX-Mangocart-Instance-Id: {}\r\n"
                        "Content-Length: 0\r\n\r\n",
                        name(Index))};
  m_Repeated += m_Arrived.insert(Id).second ? 0 : 1;
  if (m_Form && m_Answers++ % Cycle < BrokenOfCycle) {
    m_Broken.insert(Id);
    return m_Form(Id);
  }
  return {fmt::format("HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{}",
                      answerFields(Id), WholeBody.size(), WholeBody),
          ConnectionEnd::Keep, 0us, std::string::npos};
}

} // namespace mangocart::test
