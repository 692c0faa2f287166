// The stand-ins of the review in one program:
//
//   review-standin call METHOD ADDRESS:PORT TARGET [BODY-FILE]
//   review-standin replica ADDRESS:PORT STEERING NAME SERVICE ZONE WORK-MS
//                          CLOCK-ERROR-MS RECORD CONTROL...
//   review-standin load ADDRESS:PORT HOST TARGET PER-SECOND SECONDS RECORD
//                       PREFIX
#include "Http.h"
#include "Replica.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <thread>
#include <vector>

namespace review {

namespace {

using std::chrono::milliseconds;

using Arguments = std::vector<std::string>;

// Prints the status, or 0 without an answer, and the body.
int runCall(const Arguments &Given) {
  std::string Body;
  if (Given.size() > 3) {
    std::ifstream File(Given[3], std::ios::binary);
    std::ostringstream Text;
    Text << File.rdbuf();
    Body = Text.str();
  }
  const auto Answer =
      call(parseEndpoint(Given.at(1)), Given.at(0), Given.at(2),
           {{"Content-Type", "application/json"}}, Body, milliseconds(1000));
  std::cout << (Answer ? Answer->status() : 0) << "\n";
  if (Answer)
    std::cout << Answer->m_Body << "\n";
  return Answer ? 0 : 1;
}

int runReplica(const Arguments &Given) {
  ReplicaOptions Options;
  Options.m_Address = parseEndpoint(Given.at(0));
  Options.m_Steering = parseEndpoint(Given.at(1));
  Options.m_Name = Given.at(2);
  Options.m_Service = Given.at(3);
  Options.m_Zone = Given.at(4);
  Options.m_WorkTime = milliseconds(std::stoul(Given.at(5)));
  Options.m_ClockError = milliseconds(std::stol(Given.at(6)));
  Options.m_RecordFile = Given.at(7);
  for (std::size_t I = 8; I < Given.size(); ++I)
    Options.m_Controls.push_back(parseEndpoint(Given[I]));
  Replica(std::move(Options)).run();
  return 0;
}

// Sends requests at a steady rate, each on a connection of its own.
int runLoad(const Arguments &Given) {
  const Endpoint To = parseEndpoint(Given.at(0));
  const std::string Host = Given.at(1);
  const std::string Target = Given.at(2);
  const unsigned long PerSecond = std::stoul(Given.at(3));
  const unsigned long Total = PerSecond * std::stoul(Given.at(4));
  std::ofstream Record(Given.at(5), std::ios::app);
  const std::string Prefix = Given.at(6);
  std::mutex Mutex;
  std::vector<std::thread> Threads;
  const auto Start = std::chrono::steady_clock::now();
  for (unsigned long I = 0; I < Total; ++I) {
    std::this_thread::sleep_until(Start + milliseconds(1000 * I / PerSecond));
    Threads.emplace_back([&, I] {
      const std::string Id = Prefix + "-" + std::to_string(I);
      const std::int64_t SentAt = nowMs();
      const auto Answer = call(To, "POST", Target,
                               {{"Host", Host},
                                {"X-Mangocart-Request-Id", Id},
                                {"X-Mangocart-Deadline-Ms", "1500"}},
                               "", milliseconds(1500));
      const std::lock_guard Lock(Mutex);
      Record << SentAt << " client sends " << Id << " to " << To.m_Address
             << ": " << (Answer ? Answer->status() : 0) << " from "
             << (Answer ? Answer->header("x-mangocart-server-stamp") : "")
             << " after " << nowMs() - SentAt << " ms" << std::endl;
    });
  }
  for (std::thread &Each : Threads)
    Each.join();
  return 0;
}

int run(const Arguments &Given) {
  if (Given.empty())
    throw std::out_of_range("no command");
  const Arguments Rest(Given.begin() + 1, Given.end());
  if (Given[0] == "call")
    return runCall(Rest);
  if (Given[0] == "replica")
    return runReplica(Rest);
  if (Given[0] == "load")
    return runLoad(Rest);
  throw std::invalid_argument("unknown command " + Given[0]);
}

} // namespace

} // namespace review

int main(int Argc, char **Argv) {
  try {
    return review::run({Argv + 1, Argv + Argc});
  } catch (const std::exception &Error) {
    std::cerr << "review-standin: " << Error.what() << "\n";
    return 2;
  }
}
