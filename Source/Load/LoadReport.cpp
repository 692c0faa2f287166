// Counting and showing of a run's results.
#include "Load/LoadReport.h"

#include "Standin/DraftTokens.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace mangocart {

namespace json = boost::json;

namespace {

// Broken promises that the report shows one by one; all are counted.
constexpr std::size_t MaxShown = 20;

const char *verdictName(Verdict V) {
  switch (V) {
  case Verdict::Ok:
    return "ok";
  case Verdict::Mixed:
    return "mixed";
  case Verdict::CutLooksComplete:
    return "cut_looks_complete";
  case Verdict::Broken:
    return "broken";
  case Verdict::Refused:
    return "refused";
  }
  return "";
}

const char *outcomeName(StatedOutcome Outcome) {
  switch (Outcome) {
  case StatedOutcome::None:
    return "none";
  case StatedOutcome::Ran:
    return "ran";
  case StatedOutcome::NotRun:
    return "not-run";
  case StatedOutcome::Unknown:
    return "unknown";
  }
  return "";
}

json::object latencyJson(LatencySamples &Samples) {
  return {{"p50", Samples.quantile(0.5)},    {"p90", Samples.quantile(0.9)},
          {"p95", Samples.quantile(0.95)},   {"p99", Samples.quantile(0.99)},
          {"p999", Samples.quantile(0.999)}, {"max", Samples.quantile(1.0)}};
}

json::object kindJson(KindReport &Kind) {
  json::object Out{{"sent", Kind.m_Sent}};
  for (const Verdict V :
       {Verdict::Ok, Verdict::Mixed, Verdict::CutLooksComplete, Verdict::Broken,
        Verdict::Refused})
    Out[verdictName(V)] = Kind.m_Verdicts[V];
  Out["first_byte_us"] = latencyJson(Kind.m_FirstByte);
  Out["whole_us"] = latencyJson(Kind.m_Whole);
  return Out;
}

json::object customersJson(const LoadReport &Report) {
  std::uint64_t AllOk = 0;
  for (const auto &[Name, Customer] : Report.m_Customers)
    AllOk += Customer.m_Ok;
  json::object Out;
  for (const auto &[Name, Customer] : Report.m_Customers) {
    const double Share = AllOk == 0 ? 0.0
                                    : static_cast<double>(Customer.m_Ok) /
                                          static_cast<double>(AllOk);
    Out[Name] = json::object{
        {"sent", Customer.m_Sent}, {"ok", Customer.m_Ok}, {"share", Share}};
  }
  return Out;
}

json::array brokenJson(const LoadReport &Report) {
  json::array Out;
  for (const BrokenPromise &Broken : Report.m_Broken) {
    if (Out.size() == MaxShown)
      break;
    Out.push_back(json::object{{"promise", Broken.m_Promise},
                               {"request", Broken.m_Request},
                               {"detail", Broken.m_Detail}});
  }
  return Out;
}

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

double rate(const LoadReport &Report) {
  const double Elapsed = seconds(Report.m_Elapsed);
  const std::uint64_t Sent = Report.m_Drafts.m_Sent + Report.m_Bookings.m_Sent;
  return Elapsed > 0 ? static_cast<double>(Sent) / Elapsed : 0.0;
}

std::string kindText(std::string_view Name, KindReport &Kind) {
  if (Kind.m_Sent == 0)
    return {};
  std::string Out = fmt::format("{}: {} sent", Name, Kind.m_Sent);
  for (const auto &[V, Count] : Kind.m_Verdicts)
    Out += fmt::format(", {} {}", Count, verdictName(V));
  Out += fmt::format(
      "\n  first byte p50 {} us, p99 {} us; whole p50 {} us, p99 {} us, "
      "max {} us\n",
      Kind.m_FirstByte.quantile(0.5), Kind.m_FirstByte.quantile(0.99),
      Kind.m_Whole.quantile(0.5), Kind.m_Whole.quantile(0.99),
      Kind.m_Whole.quantile(1.0));
  return Out;
}

} // namespace

void LatencySamples::add(Duration Taken) {
  m_Microseconds.push_back(static_cast<std::uint32_t>(Taken.count()));
}

void LatencySamples::merge(const LatencySamples &Other) {
  m_Microseconds.insert(m_Microseconds.end(), Other.m_Microseconds.begin(),
                        Other.m_Microseconds.end());
}

std::uint32_t LatencySamples::quantile(double Share) {
  if (m_Microseconds.empty())
    return 0;
  std::sort(m_Microseconds.begin(), m_Microseconds.end());
  const double Place = Share * static_cast<double>(m_Microseconds.size() - 1);
  return m_Microseconds[static_cast<std::size_t>(Place)];
}

void LoadReport::merge(LoadReport Other) {
  const auto MergeKind = [](KindReport &To, const KindReport &From) {
    To.m_Sent += From.m_Sent;
    for (const auto &[V, Count] : From.m_Verdicts)
      To.m_Verdicts[V] += Count;
    To.m_FirstByte.merge(From.m_FirstByte);
    To.m_Whole.merge(From.m_Whole);
  };
  MergeKind(m_Drafts, Other.m_Drafts);
  MergeKind(m_Bookings, Other.m_Bookings);
  for (const auto &[Name, Customer] : Other.m_Customers) {
    m_Customers[Name].m_Sent += Customer.m_Sent;
    m_Customers[Name].m_Ok += Customer.m_Ok;
  }
  for (const auto &[Status, Count] : Other.m_RefusedByStatus)
    m_RefusedByStatus[Status] += Count;
  for (const auto &[Outcome, Count] : Other.m_Outcomes)
    m_Outcomes[Outcome] += Count;
  std::move(Other.m_Attempts.begin(), Other.m_Attempts.end(),
            std::back_inserter(m_Attempts));
  std::move(Other.m_Broken.begin(), Other.m_Broken.end(),
            std::back_inserter(m_Broken));
  m_NotOffered += Other.m_NotOffered;
  m_Elapsed = std::max(m_Elapsed, Other.m_Elapsed);
}

void recordAnswer(LoadReport &Report, const PlannedRequest &Planned,
                  const ReceivedAnswer &Answer, bool Direct) {
  CheckedAnswer Checked = checkAnswer(Planned, Answer);
  const bool IsBooking = Planned.m_Kind == RequestKind::Booking;
  KindReport &Kind = IsBooking ? Report.m_Bookings : Report.m_Drafts;
  ++Kind.m_Sent;
  ++Kind.m_Verdicts[Checked.m_Verdict];
  CustomerReport &Customer = Report.m_Customers[Planned.m_Customer];
  ++Customer.m_Sent;
  Customer.m_Ok += Checked.m_Verdict == Verdict::Ok ? 1 : 0;
  ++Report.m_Outcomes[Checked.m_Outcome];
  const bool Refused = Checked.m_Verdict == Verdict::Refused;
  if (Refused)
    ++Report.m_RefusedByStatus[Answer.m_Head.m_Status];
  if (Checked.m_Verdict == Verdict::Mixed)
    Report.m_Broken.push_back({"own answer", Planned.m_Id, Checked.m_Detail});
  if (Checked.m_Verdict == Verdict::CutLooksComplete)
    Report.m_Broken.push_back({"whole answer", Planned.m_Id, Checked.m_Detail});
  if (Refused && !Direct && Checked.m_Outcome == StatedOutcome::None)
    Report.m_Broken.push_back(
        {"outcome stated", Planned.m_Id,
         fmt::format("status {} without Mangocart-Outcome",
                     Answer.m_Head.m_Status)});
  if (IsBooking)
    Report.m_Attempts.push_back(
        {Planned.m_Id, checksumText(Planned.m_Body), std::move(Checked),
         Answer.m_Error && Answer.m_Error->m_NothingSent});
}

std::string toText(LoadReport &Report) {
  std::string Out =
      fmt::format("{} requests in {:.3f} s, {:.0f} a second\n",
                  Report.m_Drafts.m_Sent + Report.m_Bookings.m_Sent,
                  seconds(Report.m_Elapsed), rate(Report));
  Out += kindText("drafts", Report.m_Drafts);
  Out += kindText("bookings", Report.m_Bookings);
  for (const auto &[Status, Count] : Report.m_RefusedByStatus)
    Out += fmt::format("refused with status {}: {}\n", Status, Count);
  for (const auto &[Outcome, Count] : Report.m_Outcomes)
    Out += fmt::format("outcome {}: {}\n", outcomeName(Outcome), Count);
  if (Report.m_Customers.size() > 1)
    for (const auto &[Name, Customer] : Report.m_Customers)
      Out += fmt::format("customer {}: {} sent, {} ok\n", Name, Customer.m_Sent,
                         Customer.m_Ok);
  if (Report.m_NotOffered > 0)
    Out += fmt::format("not offered: {}\n", Report.m_NotOffered);
  Out += fmt::format("broken promises: {}\n", Report.m_Broken.size());
  const std::size_t Shown = std::min(MaxShown, Report.m_Broken.size());
  for (std::size_t I = 0; I < Shown; ++I)
    Out +=
        fmt::format("  {}: {}: {}\n", Report.m_Broken[I].m_Promise,
                    Report.m_Broken[I].m_Request, Report.m_Broken[I].m_Detail);
  return Out;
}

std::string toJson(LoadReport &Report) {
  json::object Refused;
  for (const auto &[Status, Count] : Report.m_RefusedByStatus)
    Refused[std::to_string(Status)] = Count;
  json::object Outcomes;
  for (const auto &[Outcome, Count] : Report.m_Outcomes)
    Outcomes[outcomeName(Outcome)] = Count;
  const json::object Out{{"seconds", seconds(Report.m_Elapsed)},
                         {"requests_per_second", rate(Report)},
                         {"drafts", kindJson(Report.m_Drafts)},
                         {"bookings", kindJson(Report.m_Bookings)},
                         {"refused_by_status", Refused},
                         {"outcomes", Outcomes},
                         {"customers", customersJson(Report)},
                         {"not_offered", Report.m_NotOffered},
                         {"broken_promises", Report.m_Broken.size()},
                         {"broken_promises_shown", brokenJson(Report)}};
  return json::serialize(Out) + "\n";
}

} // namespace mangocart
