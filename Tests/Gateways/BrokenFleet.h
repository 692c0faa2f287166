// Replicas of the service of a GatewayDeployment that break two of five answers
// and give whole ones otherwise.
#ifndef MANGOCART_TESTS_BROKENFLEET_H
#define MANGOCART_TESTS_BROKENFLEET_H

#include "Gateways/ReplicaAnnouncer.h"
#include "Http/BrokenServer.h"

#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mangocart::test {

class GatewayDeployment;

class BrokenFleet {
public:
  // The broken answer to the request with this ID.
  using Form = std::function<BrokenAnswer(const std::string &RequestId)>;

  // Addresses begin at 127.OCTET.2.100. All answers are whole until a form is
  // set.
  BrokenFleet(const GatewayDeployment &Deployment, unsigned Replicas);
  BrokenFleet(const BrokenFleet &) = delete;
  BrokenFleet &operator=(const BrokenFleet &) = delete;

  void setForm(Form Next);
  // The answer to requests without an ID; empty for a valid one.
  void setProbeAnswer(std::string Text);
  // IDs of the requests that got a broken answer so far, and how many arrived
  // more than once at these replicas.
  std::set<std::string> broken() const;
  unsigned repeated() const;

private:
  BrokenAnswer answer(unsigned Index, const std::string &Head);

  mutable std::mutex m_Mutex;
  // Guarded by m_Mutex.
  Form m_Form;
  std::string m_ProbeAnswer;
  unsigned m_Answers = 0;
  unsigned m_Repeated = 0;
  std::set<std::string> m_Arrived;
  std::set<std::string> m_Broken;
  std::vector<std::unique_ptr<BrokenServer>> m_Servers;
  std::unique_ptr<ReplicaAnnouncer> m_Announcer;
};

// The body of whole answers: one event.
inline constexpr std::string_view WholeBody = "data: whole answer\n\n";

// Fields by which a gateway takes an answer as one to the request.
std::string answerFields(const std::string &RequestId);

} // namespace mangocart::test

#endif
