// What backend servers say of themselves in their answers, and which of them a
// gateway may therefore send a request to now.
//
// A server in need names a limit: the requests a second that it takes from all
// gateways together. Each gateway keeps to a part of it without knowing what
// the others send. A limit of few requests a second is divided among few
// gateways, chosen by hash, since even one request of each gateway could exceed
// it.
#ifndef MANGOCART_ROUTING_SERVERNOTICES_H
#define MANGOCART_ROUTING_SERVERNOTICES_H

#include "Core/RuntimeClock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mangocart {

struct ServerNoticeOptions {
  // Gateways that may send to a limited server: this many, and more for each
  // request a second of the limit.
  double m_MinSenders = 2.0;
  double m_SendersPerRequest = 1.0;
  // A gateway may save up this many requests.
  double m_MaxSaved = 1.0;
  // A limit that no answer has confirmed for so long is forgotten.
  Duration m_LimitTimeout = std::chrono::seconds(30);

  bool operator==(const ServerNoticeOptions &) const = default;
};

// What one answer says of its server.
struct ServerNotice {
  // The server is about to leave and should get no further requests.
  bool m_IsLeaving = false;
  // Requests a second that the server takes from all gateways together.
  std::optional<double> m_RequestsPerSecond;
  // The server wants no requests from this gateway for so long.
  std::optional<Duration> m_Pause;
  // How long the server stays cold; zero if it isn't cold.
  Duration m_ColdRemaining = Duration::zero();

  bool operator==(const ServerNotice &) const = default;
};

// A limit as it was last seen; no value after an answer that named none.
struct LimitSighting {
  std::optional<double> m_RequestsPerSecond;
  TimePoint m_At;

  bool operator==(const LimitSighting &) const = default;
};

struct NotedServer {
  LimitSighting m_Limit;
  // When other gateways were last told of the limit.
  TimePoint m_ToldAt;
  // Requests that may be sent now, and when that was computed. Kept when a
  // limit is lifted and named again, so that it can't be spent twice.
  double m_Saved = 0.0;
  TimePoint m_SavedAt;
  // No request is sent before that.
  TimePoint m_PausedUntil;

  bool operator==(const NotedServer &) const = default;
};

// The place of this gateway among all, for the choice of senders.
struct GatewayList {
  std::string m_Self;
  std::vector<std::string> m_All;

  bool operator==(const GatewayList &) const = default;
};

struct ServerNotices {
  ServerNoticeOptions m_Options;
  GatewayList m_Gateways;
  // By server name.
  std::map<std::string, NotedServer, std::less<>> m_Servers;
  // Servers whose limits other gateways have not been told of yet.
  std::set<std::string> m_News;
};

// Records what an answer says. Other gateways are to hear of a limit that has
// changed or is confirmed after a longer time (m_News).
void recordNotice(ServerNotices &Notices, const std::string &Server,
                  const ServerNotice &Notice, TimePoint Now);

// Records a limit that another gateway has seen.
void mergeLimit(ServerNotices &Notices, const std::string &Server,
                const LimitSighting &Seen, TimePoint Now);

// Whether this gateway may send a request to the server now.
bool mayReceive(const ServerNotices &Notices, std::string_view Server,
                TimePoint Now);

// When the pause that the server asked for ends; no value if there is none.
std::optional<TimePoint> pausedUntil(const ServerNotices &Notices,
                                     std::string_view Server, TimePoint Now);

// Counts a request that this gateway sends to the server.
void recordSent(ServerNotices &Notices, std::string_view Server, TimePoint Now);

// Requests a second that this gateway may send to a server with this limit; 0
// if other gateways send to it.
double ownRate(const ServerNotices &Notices, std::string_view Server,
               double RequestsPerSecond);

// Forgets limits that no answer has confirmed for a long time.
void removeExpired(ServerNotices &Notices, TimePoint Now);

} // namespace mangocart

#endif
