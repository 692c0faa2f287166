// How many requests a gateway may send to the backend servers of services with
// a cold rate, so that all gateways together never send a cold server more than
// it bears in any second.
//
// Each server has a fixed number of permits in each window of a little more
// than a second. They are divided among the gateways by rendezvous hashing over
// the list of gateways, so a gateway needs no messages to know its part. Two
// different divisions may be in force at once, of gateways that were cut off
// and of the others: the permits are at most half of what the server bears.
//
// The same permits apply while the server isn't known to be cold, as it may
// become cold without a word. A permit is then free again as soon as the server
// has answered as one that isn't cold. A gateway without a permit at any usable
// server of a service uses one from a reserve, so that its callers are served.
#ifndef MANGOCART_ROUTING_COLDALLOWANCE_H
#define MANGOCART_ROUTING_COLDALLOWANCE_H

#include "Core/RuntimeClock.h"
#include "Routing/ServerNotices.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace mangocart {

struct ColdAllowanceOptions {
  // Requests that a cold server bears in any second: this multiple of its rate,
  // and some more.
  double m_BurstFactor = 1.0;
  double m_BurstSlack = 0.0;
  // A gateway that voters no longer name keeps its part for so long, as it may
  // only be cut off and still send.
  Duration m_GatewayRetention = std::chrono::seconds(30);
  // A larger part is used only after this time, a smaller one at once. By then
  // all connected gateways have the same list (voters send it twice a second),
  // and what others sent by the former one is more than a second old.
  Duration m_GainDelay = std::chrono::seconds(2);

  bool operator==(const ColdAllowanceOptions &) const = default;
};

// Requests that all gateways together may send in each window.
struct ColdPermits {
  std::size_t m_Count = 0;
  // Further ones, for gateways without a permit, to servers that aren't known
  // to be cold. With m_Count no more than a cold server bears.
  std::size_t m_Reserve = 0;
  Duration m_Window = Duration::zero();

  bool operator==(const ColdPermits &) const = default;
};

// A list of gateways and when it came into force here.
struct GatewaySnapshot {
  std::vector<std::string> m_Names;
  TimePoint m_Since;
  // Rank of this gateway by server, as far as computed.
  mutable std::map<std::string, std::size_t, std::less<>> m_Ranks;
};

struct SentRequest {
  TimePoint m_At;
  // Answered as by a server that isn't cold.
  bool m_IsConfirmed = false;

  bool operator==(const SentRequest &) const = default;
};

struct ColdServer {
  // Cold until then, by answers of the server itself.
  TimePoint m_ColdUntil;
  // Sent within the last window, oldest first.
  std::deque<SentRequest> m_Sent;

  bool operator==(const ColdServer &) const = default;
};

struct ColdAllowance {
  ColdAllowanceOptions m_Options;
  // Rate of each service with one; all others are unlimited.
  std::map<std::string, double, std::less<>> m_Rates;
  std::string m_Self;
  // When each known gateway was last named by a voter.
  std::map<std::string, TimePoint, std::less<>> m_LastNamed;
  // Set while a majority of the voters is connected: gateways that are not
  // named meanwhile have left or are cut off.
  std::optional<TimePoint> m_MajoritySince;
  TimePoint m_LastUpdate;
  // When a list came from a majority for the first time; requests are sent to
  // cold servers from m_GainDelay after that.
  std::optional<TimePoint> m_FirstConfirmed;
  // Lists that were in force within m_GainDelay, oldest first.
  std::deque<GatewaySnapshot> m_Snapshots;
  // By server name.
  std::map<std::string, ColdServer, std::less<>> m_Servers;
};

// A server as a request is about to be sent to it.
struct ColdQuery {
  std::string_view m_Server;
  std::string_view m_Service;
  // Cold until then, as announced.
  TimePoint m_AnnouncedUntil;
  // This gateway has no permit at any usable server of the service.
  bool m_MayUseReserve = false;
};

// The permits of one server with this rate.
ColdPermits coldPermits(const ColdAllowanceOptions &Options,
                        double RequestsPerSecond);

// Records the gateways that the connected voters name. HasMajority: a majority
// of the voters is connected, so any other such gateway is named.
void updateGateways(ColdAllowance &Cold, const GatewayList &Named,
                    bool HasMajority, TimePoint Now);

// Permits of this gateway at a server, without the reserve if the query doesn't
// allow it.
std::size_t ownPermits(const ColdAllowance &Cold, const ColdQuery &Query,
                       TimePoint Now);

// Completes the queries for all usable servers of a service.
void allowReserve(const ColdAllowance &Cold, std::span<ColdQuery> Queries,
                  TimePoint Now);

// Whether this gateway may send any requests to the server.
bool hasPart(const ColdAllowance &Cold, const ColdQuery &Query, TimePoint Now);

// Set while this gateway has no part of cold servers yet: until when.
std::optional<TimePoint> withoutPartUntil(const ColdAllowance &Cold,
                                          TimePoint Now);

bool isCold(const ColdAllowance &Cold, const ColdQuery &Query, TimePoint Now);

// When this gateway may next send a request to the server: Now or earlier if it
// may now; no value if not before something else changes.
std::optional<TimePoint> nextAllowed(const ColdAllowance &Cold,
                                     const ColdQuery &Query, TimePoint Now);

// Records a request to a server of the service.
void recordColdSent(ColdAllowance &Cold, std::string_view Server,
                    std::string_view Service, TimePoint Now);

// Records an answer of the server to a request that was sent at SentAt.
void recordColdAnswer(ColdAllowance &Cold, std::string_view Server,
                      Duration ColdRemaining, TimePoint SentAt, TimePoint Now);

// Removes servers without recent requests that are not cold.
void removeExpired(ColdAllowance &Cold, TimePoint Now);

} // namespace mangocart

#endif
