// In-memory part of the replicated log.
#include "Raft/RaftLog.h"

#include <algorithm>

namespace mangocart {

Term RaftLog::lastTerm() const {
  return m_Entries.empty() ? m_BaseTerm : m_Entries.back()->m_Term;
}

std::optional<Term> RaftLog::termAt(LogIndex Index) const {
  if (Index < m_BaseIndex || Index > lastIndex())
    return std::nullopt;
  return Index == m_BaseIndex ? m_BaseTerm : at(Index)->m_Term;
}

EntryList RaftLog::slice(LogIndex First, LogIndex Last,
                         std::size_t MaxBytes) const {
  EntryList Part;
  std::size_t Bytes = 0;
  for (LogIndex I = First; I <= std::min(Last, lastIndex()); ++I) {
    Bytes += at(I)->m_Payload.size();
    if (!Part.empty() && Bytes > MaxBytes)
      break;
    Part.push_back(at(I));
  }
  return Part;
}

LogIndex RaftLog::firstOfTerm(LogIndex Index) const {
  const std::optional<Term> Wanted = termAt(Index);
  while (Index > m_BaseIndex + 1 && termAt(Index - 1) == Wanted)
    --Index;
  return Index;
}

void RaftLog::truncateFrom(LogIndex Index) {
  if (Index <= lastIndex())
    m_Entries.resize(Index - m_BaseIndex - 1);
}

void RaftLog::compactTo(LogIndex Index) {
  if (Index <= m_BaseIndex)
    return;
  m_BaseTerm = *termAt(Index);
  const auto Count = static_cast<std::ptrdiff_t>(Index - m_BaseIndex);
  m_Entries.erase(m_Entries.begin(), m_Entries.begin() + Count);
  m_BaseIndex = Index;
}

} // namespace mangocart
