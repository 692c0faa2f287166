// Results of a run: response checks, latencies, customer shares and violated
// guarantees.
#ifndef MANGOCART_LOAD_LOADREPORT_H
#define MANGOCART_LOAD_LOADREPORT_H

#include "Load/ResponseCheck.h"

#include <map>

namespace mangocart {

struct LatencySamples {
  std::vector<std::uint32_t> m_Microseconds;

  void add(Duration Latency);
  void merge(const LatencySamples &Other);
  // Fraction from 0 to 1; returns 0 without samples. Sorts the samples.
  std::uint32_t quantile(double Fraction);
};

struct KindReport {
  std::uint64_t m_Sent = 0;
  std::map<CheckResult, std::uint64_t> m_Results;
  LatencySamples m_FirstByte;
  LatencySamples m_TotalTime;
};

struct CustomerReport {
  std::uint64_t m_Sent = 0;
  std::uint64_t m_Ok = 0;
};

// One attempt of a booking and the response to it.
struct BookingAttempt {
  std::string m_Key;
  std::string m_Digest;
  CheckedResponse m_Response;
  // No byte of the request can have been sent.
  bool m_NothingSent = false;
};

// A violated guarantee, with the request that showed it.
struct Violation {
  std::string m_Guarantee;
  std::string m_Request;
  std::string m_Detail;

  bool operator==(const Violation &) const = default;
};

struct LoadReport {
  KindReport m_Drafts;
  KindReport m_Bookings;
  std::map<std::string, CustomerReport> m_Customers;
  std::map<unsigned, std::uint64_t> m_RejectedByStatus;
  std::map<ReportedOutcome, std::uint64_t> m_Outcomes;
  std::vector<BookingAttempt> m_Attempts;
  std::vector<Violation> m_Violations;
  // Open loop: requests skipped because too many were outstanding.
  std::uint64_t m_NotOffered = 0;
  Duration m_Elapsed{0};

  void merge(LoadReport Other);
};

// Adds one response to the report. Without Direct, a rejection that does not
// report its outcome is a violation.
void recordResponse(LoadReport &Report, const PlannedRequest &Planned,
                    const ReceivedResponse &Response, bool Direct);

std::string toText(LoadReport &Report);
std::string toJson(LoadReport &Report);

} // namespace mangocart

#endif
