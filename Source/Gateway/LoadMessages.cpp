#include "Gateway/LoadMessages.h"

#include "Gateway.pb.h"

#include <set>

namespace mangocart {

namespace {

std::uint32_t countOf(const std::map<std::uint64_t, std::uint32_t> &Counts,
                      std::uint64_t Server) {
  const auto Found = Counts.find(Server);
  return Found == Counts.end() ? 0 : Found->second;
}

void addServer(schema::LoadReport &Report, const GatewayLoad &Load,
               std::uint64_t Server) {
  Report.add_servers(Server);
  Report.add_requests(countOf(Load.m_Requests, Server));
  Report.add_pending_prompt_tokens(countOf(Load.m_PendingPromptTokens, Server));
}

} // namespace

void addLoad(schema::LoadReport &Report, const GatewayLoad &Load) {
  for (const auto &[Server, Requests] : Load.m_Requests)
    addServer(Report, Load, Server);
}

void addLoadChanges(schema::LoadReport &Report, const GatewayLoad &Before,
                    const GatewayLoad &After) {
  std::set<std::uint64_t> Changed;
  for (const auto &[Server, Requests] :
       loadDelta(Before.m_Requests, After.m_Requests))
    Changed.insert(Server);
  for (const auto &[Server, Tokens] :
       loadDelta(Before.m_PendingPromptTokens, After.m_PendingPromptTokens))
    Changed.insert(Server);
  for (const std::uint64_t Server : Changed)
    addServer(Report, After, Server);
}

bool applyLoad(GatewayLoad &Known, const schema::LoadReport &Report) {
  const int Servers = Report.servers_size();
  const int Pending = Report.pending_prompt_tokens_size();
  if (Report.requests_size() != Servers || (Pending != 0 && Pending != Servers))
    return false;
  if (!Report.changes_only())
    Known = {};
  RequestsByServer Requests;
  PromptTokensByServer Tokens;
  for (int I = 0; I < Servers; ++I) {
    Requests[Report.servers(I)] = Report.requests(I);
    Tokens[Report.servers(I)] =
        Pending == 0 ? 0 : Report.pending_prompt_tokens(I);
  }
  applyLoadDelta(Known.m_Requests, Requests);
  applyLoadDelta(Known.m_PendingPromptTokens, Tokens);
  return true;
}

} // namespace mangocart
