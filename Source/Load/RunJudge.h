// Compares what callers were told about their bookings with each other and with
// the stand-ins' own records of what ran.
#ifndef MANGOCART_LOAD_RUNJUDGE_H
#define MANGOCART_LOAD_RUNJUDGE_H

#include "Load/LoadReport.h"
#include "Standin/RunLog.h"

namespace mangocart {

// Two answers to one key must tell of the same run.
std::vector<BrokenPromise>
judgeReceipts(const std::vector<BookingAttempt> &Attempts);

// No key may have run twice; what was said to have run must have run, with its
// own body; what was only ever said not to have run must not have run.
std::vector<BrokenPromise>
judgeRuns(const std::vector<BookingAttempt> &Attempts,
          const std::vector<RunRecord> &Runs);

struct RunLogError {
  std::string m_Detail;

  bool operator==(const RunLogError &) const = default;
};

// Reads a stand-in's run log.
Result<std::vector<RunRecord>, RunLogError> readRunLog(const std::string &Path);

} // namespace mangocart

#endif
