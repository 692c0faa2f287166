// Checks an answer against the request that it should belong to.
#ifndef MANGOCART_LOAD_ANSWERCHECK_H
#define MANGOCART_LOAD_ANSWERCHECK_H

#include "Load/Workload.h"

#include <optional>

namespace mangocart {

// All that a caller saw of an answer.
struct ReceivedAnswer {
  HttpHead m_Head;
  std::string m_Body;
  // Absent when the answer ended as complete.
  std::optional<HttpError> m_Error;

  bool operator==(const ReceivedAnswer &) const = default;
};

enum class Verdict {
  // Whole, and the caller's own.
  Ok,
  // Someone else's, in whole or in part.
  Mixed,
  // Ended as complete, yet something is missing.
  CutLooksComplete,
  // Ended in a way that the caller could see.
  Broken,
  // Refused with a status.
  Refused
};

// What the caller was told about whether its request ran.
enum class StatedOutcome { None, Ran, NotRun, Unknown };

// Which run of a booking an answer tells of.
struct BookingReceipt {
  std::string m_Desk;
  std::uint64_t m_Serial = 0;

  auto operator<=>(const BookingReceipt &) const = default;
};

struct CheckedAnswer {
  Verdict m_Verdict = Verdict::Broken;
  StatedOutcome m_Outcome = StatedOutcome::None;
  // Present for a booking whose answer is Ok.
  std::optional<BookingReceipt> m_Receipt;
  // Why the verdict isn't Ok.
  std::string m_Detail;

  bool operator==(const CheckedAnswer &) const = default;
};

CheckedAnswer checkAnswer(const PlannedRequest &Planned,
                          const ReceivedAnswer &Answer);

} // namespace mangocart

#endif
