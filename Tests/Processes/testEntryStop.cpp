// An entry is stopped while requests are in progress that outlast its drain.
// Guards against connections that are closed without an answer, though the
// entry knows whether the request was sent.
#include "Http/HttpClient.h"
#include "Processes/Deployment.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <csignal>

using namespace mangocart;
using namespace mangocart::test;
using namespace std::chrono_literals;

namespace {

// Sends a request to the entry; calls Started once it is on its way. Returns
// the status of the answer, 0 without one.
unsigned statusOf(const Deployment &D, const std::string &Path,
                  const std::string &Body,
                  const std::function<void()> &Started) {
  boost::asio::io_context Context;
  HttpClient Client(Context);
  unsigned Status = 0;
  HttpCallHandlers Handlers;
  Handlers.m_OnHead = [&](const HttpHead &Head) { Status = Head.m_Status; };
  Handlers.m_OnBody = [](std::string_view) {};
  Handlers.m_OnEnd = [] {};
  Handlers.m_OnError = [&](const HttpError &) { Status = 0; };
  Client.send({D.address("entry-a"), 8080},
              {"POST", Path, {{"Mangocart-Customer", "families"}}, Body, {}},
              20s, std::move(Handlers));
  Context.run_for(500ms);
  Started();
  Context.restart();
  Context.run();
  return Status;
}

} // namespace

TEST_CASE("a stopped entry answers requests that outlast its drain") {
  const bool Idempotent = GENERATE(true, false);
  CAPTURE(Idempotent);
  Deployment D(93);
  D.setEntryDrain(3s);
  D.start();
  for (const char *Name :
       {"engine-1", "engine-2", "engine-3", "desk-1", "desk-2"})
    D.process(std::string("standin-") + Name).signal(SIGSTOP);
  const unsigned Status =
      statusOf(D, Idempotent ? "/v1/drafts" : "/bookings",
               Idempotent ? R"({"prompt":"p","max_tokens":10})" : "{}",
               [&] { D.process("entry-a").signal(SIGTERM); });
  // Whether it has run isn't known; a claim is settled by another entry.
  CHECK(Status == (Idempotent ? 502 : 504));
}
