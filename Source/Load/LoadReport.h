// What a run measured: verdicts, latencies, shares and broken promises.
#ifndef MANGOCART_LOAD_LOADREPORT_H
#define MANGOCART_LOAD_LOADREPORT_H

#include "Load/AnswerCheck.h"

#include <map>

namespace mangocart {

struct LatencySamples {
  std::vector<std::uint32_t> m_Microseconds;

  void add(Duration Taken);
  void merge(const LatencySamples &Other);
  // Share from 0 to 1; 0 without samples. Sorts the samples.
  std::uint32_t quantile(double Share);
};

struct KindReport {
  std::uint64_t m_Sent = 0;
  std::map<Verdict, std::uint64_t> m_Verdicts;
  LatencySamples m_FirstByte;
  LatencySamples m_Whole;
};

struct CustomerReport {
  std::uint64_t m_Sent = 0;
  std::uint64_t m_Ok = 0;
};

// One attempt of a booking and what its caller was told.
struct BookingAttempt {
  std::string m_Key;
  std::string m_Digest;
  CheckedAnswer m_Answer;
  // No byte of the request can have left.
  bool m_NothingSent = false;
};

// A promise that did not hold, with the request that showed it.
struct BrokenPromise {
  std::string m_Promise;
  std::string m_Request;
  std::string m_Detail;

  bool operator==(const BrokenPromise &) const = default;
};

struct LoadReport {
  KindReport m_Drafts;
  KindReport m_Bookings;
  std::map<std::string, CustomerReport> m_Customers;
  std::map<unsigned, std::uint64_t> m_RefusedByStatus;
  std::map<StatedOutcome, std::uint64_t> m_Outcomes;
  std::vector<BookingAttempt> m_Attempts;
  std::vector<BrokenPromise> m_Broken;
  // Open loop: requests left out because too many were outstanding.
  std::uint64_t m_NotOffered = 0;
  Duration m_Elapsed{0};

  void merge(LoadReport Other);
};

// Adds one answer to the report. Without Direct, a refusal that doesn't state
// its outcome is a broken promise.
void recordAnswer(LoadReport &Report, const PlannedRequest &Planned,
                  const ReceivedAnswer &Answer, bool Direct);

std::string toText(LoadReport &Report);
std::string toJson(LoadReport &Report);

} // namespace mangocart

#endif
