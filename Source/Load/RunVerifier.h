// Compares the responses to bookings with each other and with the run logs of
// the stand-ins.
#ifndef MANGOCART_LOAD_RUNVERIFIER_H
#define MANGOCART_LOAD_RUNVERIFIER_H

#include "Load/LoadReport.h"
#include "Standin/RunLog.h"

namespace mangocart {

// All responses to one key must report the same run.
std::vector<Violation>
verifyReceipts(const std::vector<BookingAttempt> &Attempts);

// No key may have run twice. A booking reported as run must have run, with its
// own body; a booking that was only ever reported as not run must not have run.
std::vector<Violation> verifyRuns(const std::vector<BookingAttempt> &Attempts,
                                  const std::vector<RunRecord> &Runs);

struct RunLogError {
  std::string m_Detail;

  bool operator==(const RunLogError &) const = default;
};

// Reads the run log of a stand-in.
Result<std::vector<RunRecord>, RunLogError> readRunLog(const std::string &Path);

} // namespace mangocart

#endif
