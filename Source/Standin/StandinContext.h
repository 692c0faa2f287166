// State shared by the request handlers of one simulated backend server. It is
// accessed only on the server's single worker and needs no locks.
#ifndef MANGOCART_STANDIN_STANDINCONTEXT_H
#define MANGOCART_STANDIN_STANDINCONTEXT_H

#include "Core/Random.h"
#include "Http/HttpServer.h"
#include "Standin/Faults.h"
#include "Standin/PrefixCache.h"
#include "Standin/SlotQueue.h"
#include "Standin/StandinOptions.h"

#include <functional>

namespace mangocart {

struct StandinCounters {
  std::uint64_t m_Completed = 0;
  // Requests whose client disconnected before the response was complete.
  std::uint64_t m_Cancelled = 0;
  std::uint64_t m_TokensGenerated = 0;
};

struct StandinContext {
  explicit StandinContext(StandinOptions Options)
      : m_Options(std::move(Options)), m_Slots(m_Options.m_Slots),
        m_Cache(m_Options.m_CacheBlocks), m_Random(m_Options.m_Seed) {}

  StandinOptions m_Options;
  SlotQueue m_Slots;
  PrefixCache m_Cache;
  Random m_Random;
  StandinCounters m_Counters;
  Faults m_Faults;
  // Incremented whenever faults are set or reset over HTTP.
  std::uint64_t m_FaultGeneration = 0;
  // Ends the process; replaced in tests.
  std::function<void()> m_Terminate;
};

// The faults that apply to one request: those set when it arrived, so that a
// fault for "the next n requests" applies to these for their whole duration,
// until faults are set or reset over HTTP.
class RequestFaults {
public:
  explicit RequestFaults(StandinContext &Context);

  const Faults &current() const;
  Duration scaled(Duration Time) const;

private:
  StandinContext &m_Context;
  Faults m_AtArrival;
  std::uint64_t m_Generation;
};

// Responses with a JSON body.
HttpResponse jsonResponse(unsigned Status, std::string Body);
HttpResponse errorResponse(unsigned Status, std::string_view Detail);

// Returns the priority from the request header, or 0 without one.
std::int64_t requestPriority(const HttpRequest &Request);
// Names the request in its answer.
void echoRequestId(HttpHead &Head, const HttpRequest &Request);
std::string headerOrEmpty(const HttpRequest &Request, std::string_view Name);

} // namespace mangocart

#endif
