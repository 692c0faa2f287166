// What a voter needs to know of the calls that operators and backend servers
// make. The names on the wire stand behind this interface only.
#ifndef MANGOCART_VOTER_CONTROLPROTOCOL_H
#define MANGOCART_VOTER_CONTROLPROTOCOL_H

#include "Http/HttpMessage.h"
#include "Membership/MembershipTable.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace mangocart {

// An operator's configuration that is valid.
struct PutConfiguration {
  std::uint64_t m_Version = 0;
  std::string m_Document;

  bool operator==(const PutConfiguration &) const = default;
};

struct ReadConfiguration {
  bool operator==(const ReadConfiguration &) const = default;
};

// A backend server says how it is. Left without an incarnation: the one that is
// known.
struct AnnounceServer {
  Member m_Record;

  bool operator==(const AnnounceServer &) const = default;
};

// A call that can't be carried out.
struct BadCall {
  enum class From { Operator, BackendServer, Unknown };

  From m_From = From::Unknown;
  HttpResponse m_Answer;
  // For the log.
  std::string m_Detail;

  bool operator==(const BadCall &) const = default;
};

using ControlCall =
    std::variant<PutConfiguration, ReadConfiguration, AnnounceServer, BadCall>;

class ControlProtocol {
public:
  virtual ~ControlProtocol() = default;

  virtual ControlCall read(const HttpRequest &Request) const = 0;
  virtual HttpResponse accepted() const = 0;
  virtual HttpResponse configuration(std::string Document) const = 0;
  virtual HttpResponse announced() const = 0;
  // The caller should go to another voter, or come again.
  virtual HttpResponse unavailable(std::string_view Detail) const = 0;
};

} // namespace mangocart

#endif
