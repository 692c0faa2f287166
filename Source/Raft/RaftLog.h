// The part of the replicated log that a member holds in memory: consecutive
// entries after a base that a snapshot covers.
#ifndef MANGOCART_RAFT_RAFTLOG_H
#define MANGOCART_RAFT_RAFTLOG_H

#include "Raft/RaftTypes.h"

#include <cstddef>
#include <deque>

namespace mangocart {

class RaftLog {
public:
  RaftLog() = default;
  RaftLog(LogIndex BaseIndex, Term BaseTerm)
      : m_BaseIndex(BaseIndex), m_BaseTerm(BaseTerm) {}

  // Last index that is no longer held as an entry.
  LogIndex baseIndex() const { return m_BaseIndex; }
  LogIndex lastIndex() const { return m_BaseIndex + m_Entries.size(); }
  Term lastTerm() const;

  // Term of the entry at the index, the base included; nothing outside
  // [baseIndex(), lastIndex()].
  std::optional<Term> termAt(LogIndex Index) const;
  // The index must be in (baseIndex(), lastIndex()].
  const EntryPtr &at(LogIndex Index) const {
    return m_Entries[Index - m_BaseIndex - 1];
  }
  // Entries from First on, up to Last, until their payloads exceed the bytes;
  // at least one if there is any.
  EntryList slice(LogIndex First, LogIndex Last, std::size_t MaxBytes) const;
  // First index of the run of entries with the term of the one at the index.
  LogIndex firstOfTerm(LogIndex Index) const;

  // The entry's index must be lastIndex() + 1.
  void append(EntryPtr Entry) { m_Entries.push_back(std::move(Entry)); }
  // Drops the entries from the index on.
  void truncateFrom(LogIndex Index);
  // Drops the entries up to the index, which becomes the base.
  void compactTo(LogIndex Index);

private:
  LogIndex m_BaseIndex = 0;
  Term m_BaseTerm = 0;
  // m_Entries[I] has the index m_BaseIndex + 1 + I; terms never fall.
  std::deque<EntryPtr> m_Entries;
};

} // namespace mangocart

#endif
