// The calls that operators and backend servers make to a voter, independent of
// the wire format. Only implementations of this interface know the names on the
// wire.
#ifndef MANGOCART_VOTER_CONTROLPROTOCOL_H
#define MANGOCART_VOTER_CONTROLPROTOCOL_H

#include "Http/HttpMessage.h"
#include "Membership/MembershipTable.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace mangocart {

// A valid configuration from an operator.
struct PutConfiguration {
  std::uint64_t m_Version = 0;
  std::string m_Document;

  bool operator==(const PutConfiguration &) const = default;
};

struct ReadConfiguration {
  bool operator==(const ReadConfiguration &) const = default;
};

// An operator evacuates an availability zone, or withdraws that.
struct OrderEvacuation {
  std::string m_Zone;
  bool m_Withdraw = false;

  bool operator==(const OrderEvacuation &) const = default;
};

// A backend server announces its state. If its state is Left and it has no
// incarnation, the known incarnation is meant.
struct AnnounceServer {
  Member m_Record;

  bool operator==(const AnnounceServer &) const = default;
};

// An invalid call, with the response to send.
struct BadCall {
  // Evacuation: an operator who evacuates a zone or withdraws that.
  enum class From { Operator, Evacuation, BackendServer, Unknown };

  From m_From = From::Unknown;
  HttpResponse m_Answer;
  // For the event log.
  std::string m_Detail;

  bool operator==(const BadCall &) const = default;
};

using ControlCall = std::variant<PutConfiguration, ReadConfiguration,
                                 OrderEvacuation, AnnounceServer, BadCall>;

class ControlProtocol {
public:
  virtual ~ControlProtocol() = default;

  virtual ControlCall read(const HttpRequest &Request) const = 0;
  virtual HttpResponse accepted() const = 0;
  virtual HttpResponse configuration(std::string Document) const = 0;
  virtual HttpResponse announced() const = 0;
  // No availability zone of this name is known.
  virtual HttpResponse unknownZone(std::string_view Detail) const = 0;
  // The caller should try another voter, or retry later.
  virtual HttpResponse unavailable(std::string_view Detail) const = 0;
};

} // namespace mangocart

#endif
