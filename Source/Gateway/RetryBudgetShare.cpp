// Counting in parts of the window.
#include "Gateway/RetryBudgetShare.h"

#include <algorithm>

namespace mangocart {

namespace {

std::int64_t partNumber(const RepeatOptions &Options, TimePoint Now) {
  const auto Length = Options.m_Window.count() /
                      static_cast<std::int64_t>(RepeatShare::PartsOfWindow);
  return Now.time_since_epoch().count() / std::max<std::int64_t>(Length, 1);
}

RepeatShare::Part &partOf(RepeatShare &Share, std::int64_t Number) {
  RepeatShare::Part &Part =
      Share.m_Parts[static_cast<std::size_t>(Number) % Share.m_Parts.size()];
  if (Part.m_Number != Number)
    Part = {Number, 0, 0};
  return Part;
}

} // namespace

void noteRequest(RepeatShare &Share, const RepeatOptions &Options,
                 TimePoint Now) {
  ++partOf(Share, partNumber(Options, Now)).m_Requests;
}

bool takeRepeat(RepeatShare &Share, const RepeatOptions &Options,
                std::uint32_t Gateways, TimePoint Now) {
  const std::int64_t Number = partNumber(Options, Now);
  const std::int64_t Oldest =
      Number - static_cast<std::int64_t>(RepeatShare::PartsOfWindow);
  std::uint32_t Requests = 0;
  std::uint32_t Repeats = 0;
  for (const RepeatShare::Part &Part : Share.m_Parts) {
    if (Part.m_Number < Oldest || Part.m_Number > Number)
      continue;
    Repeats += Part.m_Repeats;
    // The oldest part is only partly in the window: its repeats may count, its
    // requests may not.
    if (Part.m_Number > Oldest)
      Requests += Part.m_Requests;
  }
  const double Slack = Options.m_Slack * Options.m_SlackPart /
                       std::max<std::uint32_t>(Gateways, 1);
  if (Repeats + 1 > Options.m_Ratio * Requests + Slack)
    return false;
  ++partOf(Share, Number).m_Repeats;
  return true;
}

} // namespace mangocart
