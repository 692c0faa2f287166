// A client that keeps its connection, and the configuration of the cases.
#ifndef MANGOCART_REVIEW_CLIENT_H
#define MANGOCART_REVIEW_CLIENT_H

#include "Wire.h"

namespace review {

inline constexpr const char *ApiKey = "n2ctnfzs989anu6wsjnb";

// A route of the configuration.
struct Route {
  std::string m_Prefix;
  // idempotent, non_idempotent or stream
  std::string m_Type;
  int m_TimeoutMs = 0;
  std::string m_Service;
  std::string m_Host = "ficu95.example";
};

// Limits are those of the example in the protocol.
std::string configurationOf(const std::vector<Route> &Routes, int Version = 7);

struct ClientRequest {
  std::string m_Path;
  std::string m_Id;
  std::string m_Body;
  int m_DeadlineMs = 0;
  std::string m_Host = "ficu95.example";
};

std::string headOf(const ClientRequest &Request);

// A number for request ids that no earlier run has used.
std::string uniquePrefix();

} // namespace review

#endif
