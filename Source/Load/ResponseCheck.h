// Checks a response against its request.
#ifndef MANGOCART_LOAD_RESPONSECHECK_H
#define MANGOCART_LOAD_RESPONSECHECK_H

#include "Load/Workload.h"

#include <optional>

namespace mangocart {

// Response as received by a caller.
struct ReceivedResponse {
  HttpHead m_Head;
  std::string m_Body;
  // Absent if the response ended as complete.
  std::optional<HttpError> m_Error;

  bool operator==(const ReceivedResponse &) const = default;
};

enum class CheckResult {
  // Complete, and belongs to the request.
  Ok,
  // Belongs, in whole or in part, to another request.
  Mismatched,
  // Ended as complete, but data is missing.
  Truncated,
  // Ended with an error that the caller could detect.
  Failed,
  // Rejected with an error status.
  Rejected
};

// Outcome of the request as reported in the response.
enum class ReportedOutcome { None, Ran, NotRun, Unknown };

// Identifies the run of a booking that a response reports.
struct BookingReceipt {
  std::string m_Desk;
  std::uint64_t m_Serial = 0;

  auto operator<=>(const BookingReceipt &) const = default;
};

struct CheckedResponse {
  CheckResult m_Result = CheckResult::Failed;
  ReportedOutcome m_Outcome = ReportedOutcome::None;
  // Present for a booking whose response is Ok.
  std::optional<BookingReceipt> m_Receipt;
  // Why the check failed; empty if it is Ok.
  std::string m_Detail;

  bool operator==(const CheckedResponse &) const = default;
};

CheckedResponse checkResponse(const PlannedRequest &Planned,
                              const ReceivedResponse &Response);

} // namespace mangocart

#endif
