// Faults per request and small answers.
#include "Standin/StandinShared.h"

#include <boost/json.hpp>

#include <charconv>

namespace mangocart {

RequestFaults::RequestFaults(StandinShared &Shared)
    : m_Shared(Shared), m_AtArrival(Shared.m_Faults),
      m_Generation(Shared.m_FaultGeneration) {
  Faults &Set = Shared.m_Faults;
  if (Set.m_Requests > 0 && --Set.m_Requests == 0)
    Set = Faults{};
}

const Faults &RequestFaults::now() const {
  return m_Generation == m_Shared.m_FaultGeneration ? m_AtArrival
                                                    : m_Shared.m_Faults;
}

Duration RequestFaults::scaled(Duration Time) const {
  const double Scaled = static_cast<double>(Time.count()) * now().m_SlowFactor;
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

std::string headerText(const HttpRequest &Request, std::string_view Name) {
  return std::string(findHeader(Request.m_Headers, Name).value_or(""));
}

} // namespace mangocart
