// What the parts of one stand-in share. Everything here is used on the
// stand-in's one worker only.
#ifndef MANGOCART_STANDIN_STANDINSHARED_H
#define MANGOCART_STANDIN_STANDINSHARED_H

#include "Core/Random.h"
#include "Http/HttpServer.h"
#include "Standin/Faults.h"
#include "Standin/PrefixCache.h"
#include "Standin/SlotQueue.h"
#include "Standin/StandinOptions.h"

#include <functional>

namespace mangocart {

struct StandinCounts {
  std::uint64_t m_Completed = 0;
  // Requests whose client went away before the answer was complete.
  std::uint64_t m_Cancelled = 0;
  std::uint64_t m_TokensGenerated = 0;
};

struct StandinShared {
  explicit StandinShared(StandinOptions Options)
      : m_Options(std::move(Options)), m_Slots(m_Options.m_Slots),
        m_Cache(m_Options.m_CacheBlocks), m_Random(m_Options.m_Seed) {}

  StandinOptions m_Options;
  SlotQueue m_Slots;
  PrefixCache m_Cache;
  Random m_Random;
  StandinCounts m_Counts;
  Faults m_Faults;
  // Grows whenever faults are set or reset over HTTP.
  std::uint64_t m_FaultGeneration = 0;
  // Ends the process; tests replace it.
  std::function<void()> m_Die;
};

// The faults that hold for one request: those at its arrival, so that a fault
// for "the next n requests" stays with them, until faults are set anew.
class RequestFaults {
public:
  explicit RequestFaults(StandinShared &Shared);

  const Faults &now() const;
  Duration scaled(Duration Time) const;

private:
  StandinShared &m_Shared;
  Faults m_AtArrival;
  std::uint64_t m_Generation;
};

// Answers that are the stand-in's own.
HttpResponse jsonResponse(unsigned Status, std::string Body);
HttpResponse errorResponse(unsigned Status, std::string_view Detail);

// The request's priority from its header; 0 without one.
std::int64_t requestPriority(const HttpRequest &Request);
std::string headerText(const HttpRequest &Request, std::string_view Name);

} // namespace mangocart

#endif
