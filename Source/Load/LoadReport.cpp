// Counts and formats the results of a run.
#include "Load/LoadReport.h"

#include "Standin/DraftTokens.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace mangocart {

namespace json = boost::json;

namespace {

// Violations listed individually in the report; all are counted.
constexpr std::size_t MaxListedViolations = 20;

const char *checkResultName(CheckResult Result) {
  switch (Result) {
  case CheckResult::Ok:
    return "ok";
  case CheckResult::Mismatched:
    return "mixed";
  case CheckResult::Truncated:
    return "cut_looks_complete";
  case CheckResult::Failed:
    return "broken";
  case CheckResult::Rejected:
    return "refused";
  }
  return "";
}

const char *outcomeName(ReportedOutcome Outcome) {
  switch (Outcome) {
  case ReportedOutcome::None:
    return "none";
  case ReportedOutcome::Ran:
    return "ran";
  case ReportedOutcome::NotRun:
    return "not-run";
  case ReportedOutcome::Unknown:
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
  for (const CheckResult Result :
       {CheckResult::Ok, CheckResult::Mismatched, CheckResult::Truncated,
        CheckResult::Failed, CheckResult::Rejected})
    Out[checkResultName(Result)] = Kind.m_Results[Result];
  Out["first_byte_us"] = latencyJson(Kind.m_FirstByte);
  Out["whole_us"] = latencyJson(Kind.m_TotalTime);
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

json::array violationsJson(const LoadReport &Report) {
  json::array Out;
  for (const Violation &Entry : Report.m_Violations) {
    if (Out.size() == MaxListedViolations)
      break;
    Out.push_back(json::object{{"promise", Entry.m_Guarantee},
                               {"request", Entry.m_Request},
                               {"detail", Entry.m_Detail}});
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
  for (const auto &[Result, Count] : Kind.m_Results)
    Out += fmt::format(", {} {}", Count, checkResultName(Result));
  Out += fmt::format(
      "\n  first byte p50 {} us, p99 {} us; total p50 {} us, p99 {} us, "
      "max {} us\n",
      Kind.m_FirstByte.quantile(0.5), Kind.m_FirstByte.quantile(0.99),
      Kind.m_TotalTime.quantile(0.5), Kind.m_TotalTime.quantile(0.99),
      Kind.m_TotalTime.quantile(1.0));
  return Out;
}

} // namespace

void LatencySamples::add(Duration Latency) {
  m_Microseconds.push_back(static_cast<std::uint32_t>(Latency.count()));
}

void LatencySamples::merge(const LatencySamples &Other) {
  m_Microseconds.insert(m_Microseconds.end(), Other.m_Microseconds.begin(),
                        Other.m_Microseconds.end());
}

std::uint32_t LatencySamples::quantile(double Fraction) {
  if (m_Microseconds.empty())
    return 0;
  std::sort(m_Microseconds.begin(), m_Microseconds.end());
  const double Position =
      Fraction * static_cast<double>(m_Microseconds.size() - 1);
  return m_Microseconds[static_cast<std::size_t>(Position)];
}

void LoadReport::merge(LoadReport Other) {
  const auto MergeKind = [](KindReport &To, const KindReport &From) {
    To.m_Sent += From.m_Sent;
    for (const auto &[Result, Count] : From.m_Results)
      To.m_Results[Result] += Count;
    To.m_FirstByte.merge(From.m_FirstByte);
    To.m_TotalTime.merge(From.m_TotalTime);
  };
  MergeKind(m_Drafts, Other.m_Drafts);
  MergeKind(m_Bookings, Other.m_Bookings);
  for (const auto &[Name, Customer] : Other.m_Customers) {
    m_Customers[Name].m_Sent += Customer.m_Sent;
    m_Customers[Name].m_Ok += Customer.m_Ok;
  }
  for (const auto &[Status, Count] : Other.m_RejectedByStatus)
    m_RejectedByStatus[Status] += Count;
  for (const auto &[Outcome, Count] : Other.m_Outcomes)
    m_Outcomes[Outcome] += Count;
  std::move(Other.m_Attempts.begin(), Other.m_Attempts.end(),
            std::back_inserter(m_Attempts));
  std::move(Other.m_Violations.begin(), Other.m_Violations.end(),
            std::back_inserter(m_Violations));
  m_NotOffered += Other.m_NotOffered;
  m_Elapsed = std::max(m_Elapsed, Other.m_Elapsed);
}

void recordResponse(LoadReport &Report, const PlannedRequest &Planned,
                    const ReceivedResponse &Response, bool Direct) {
  CheckedResponse Checked = checkResponse(Planned, Response);
  const bool IsBooking = Planned.m_Kind == RequestKind::Booking;
  KindReport &Kind = IsBooking ? Report.m_Bookings : Report.m_Drafts;
  ++Kind.m_Sent;
  ++Kind.m_Results[Checked.m_Result];
  CustomerReport &Customer = Report.m_Customers[Planned.m_Customer];
  ++Customer.m_Sent;
  Customer.m_Ok += Checked.m_Result == CheckResult::Ok ? 1 : 0;
  ++Report.m_Outcomes[Checked.m_Outcome];
  const bool Rejected = Checked.m_Result == CheckResult::Rejected;
  if (Rejected)
    ++Report.m_RejectedByStatus[Response.m_Head.m_Status];
  if (Checked.m_Result == CheckResult::Mismatched)
    Report.m_Violations.push_back(
        {"own answer", Planned.m_Id, Checked.m_Detail});
  if (Checked.m_Result == CheckResult::Truncated)
    Report.m_Violations.push_back(
        {"whole answer", Planned.m_Id, Checked.m_Detail});
  if (Rejected && !Direct && Checked.m_Outcome == ReportedOutcome::None)
    Report.m_Violations.push_back(
        {"outcome stated", Planned.m_Id,
         fmt::format("status {} without Mangocart-Outcome",
                     Response.m_Head.m_Status)});
  if (IsBooking)
    Report.m_Attempts.push_back(
        {Planned.m_Id, checksumText(Planned.m_Body), std::move(Checked),
         Response.m_Error && Response.m_Error->m_NothingSent});
}

std::string toText(LoadReport &Report) {
  std::string Out =
      fmt::format("{} requests in {:.3f} s, {:.0f} per second\n",
                  Report.m_Drafts.m_Sent + Report.m_Bookings.m_Sent,
                  seconds(Report.m_Elapsed), rate(Report));
  Out += kindText("drafts", Report.m_Drafts);
  Out += kindText("bookings", Report.m_Bookings);
  for (const auto &[Status, Count] : Report.m_RejectedByStatus)
    Out += fmt::format("rejected with status {}: {}\n", Status, Count);
  for (const auto &[Outcome, Count] : Report.m_Outcomes)
    Out += fmt::format("outcome {}: {}\n", outcomeName(Outcome), Count);
  if (Report.m_Customers.size() > 1)
    for (const auto &[Name, Customer] : Report.m_Customers)
      Out += fmt::format("customer {}: {} sent, {} ok\n", Name, Customer.m_Sent,
                         Customer.m_Ok);
  if (Report.m_NotOffered > 0)
    Out += fmt::format("not offered: {}\n", Report.m_NotOffered);
  Out += fmt::format("broken promises: {}\n", Report.m_Violations.size());
  const std::size_t Listed =
      std::min(MaxListedViolations, Report.m_Violations.size());
  for (std::size_t I = 0; I < Listed; ++I)
    Out += fmt::format("  {}: {}: {}\n", Report.m_Violations[I].m_Guarantee,
                       Report.m_Violations[I].m_Request,
                       Report.m_Violations[I].m_Detail);
  return Out;
}

std::string toJson(LoadReport &Report) {
  json::object Rejected;
  for (const auto &[Status, Count] : Report.m_RejectedByStatus)
    Rejected[std::to_string(Status)] = Count;
  json::object Outcomes;
  for (const auto &[Outcome, Count] : Report.m_Outcomes)
    Outcomes[outcomeName(Outcome)] = Count;
  const json::object Out{{"seconds", seconds(Report.m_Elapsed)},
                         {"requests_per_second", rate(Report)},
                         {"drafts", kindJson(Report.m_Drafts)},
                         {"bookings", kindJson(Report.m_Bookings)},
                         {"refused_by_status", Rejected},
                         {"outcomes", Outcomes},
                         {"customers", customersJson(Report)},
                         {"not_offered", Report.m_NotOffered},
                         {"broken_promises", Report.m_Violations.size()},
                         {"broken_promises_shown", violationsJson(Report)}};
  return json::serialize(Out) + "\n";
}

} // namespace mangocart
