// Faults of a single request, JSON responses and header access.
#include "Standin/StandinContext.h"

#include <boost/json.hpp>

#include <charconv>

namespace mangocart {

RequestFaults::RequestFaults(StandinContext &Context)
    : m_Context(Context), m_AtArrival(Context.m_Faults),
      m_Generation(Context.m_FaultGeneration) {
  Faults &Settings = Context.m_Faults;
  if (Settings.m_Requests > 0 && --Settings.m_Requests == 0)
    Settings = Faults{};
}

const Faults &RequestFaults::current() const {
  return m_Generation == m_Context.m_FaultGeneration ? m_AtArrival
                                                     : m_Context.m_Faults;
}

Duration RequestFaults::scaled(Duration Time) const {
  const double Scaled =
      static_cast<double>(Time.count()) * current().m_SlowFactor;
  return Duration(static_cast<Duration::rep>(Scaled));
}

HttpResponse jsonResponse(unsigned Status, std::string Body) {
  return {{Status, {{"Content-Type", "application/json"}}}, std::move(Body)};
}

HttpResponse errorResponse(unsigned Status, std::string_view Detail) {
  const boost::json::object Body{
      {"error", boost::json::string_view(Detail.data(), Detail.size())}};
  return jsonResponse(Status, boost::json::serialize(Body));
}

std::int64_t requestPriority(const HttpRequest &Request) {
  std::int64_t Priority = 0;
  const auto Text = findHeader(Request.m_Headers, "Mangocart-Priority");
  if (Text)
    std::from_chars(Text->data(), Text->data() + Text->size(), Priority);
  return Priority;
}

void echoRequestId(HttpHead &Head, const HttpRequest &Request) {
  constexpr std::string_view Name("Mangocart-Request");
  if (const auto Id = findHeader(Request.m_Headers, Name))
    Head.m_Headers.push_back({std::string(Name), std::string(*Id)});
}

std::string headerOrEmpty(const HttpRequest &Request, std::string_view Name) {
  return std::string(findHeader(Request.m_Headers, Name).value_or(""));
}

} // namespace mangocart
