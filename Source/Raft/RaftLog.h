// The part of the replicated log that a member keeps in memory: consecutive
// entries after a base index that is covered by a snapshot.
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

  // Last index whose entry is no longer kept.
  LogIndex baseIndex() const { return m_BaseIndex; }
  LogIndex lastIndex() const { return m_BaseIndex + m_Entries.size(); }
  Term lastTerm() const;

  // Term of the entry at the index, including the base; nothing outside
  // [baseIndex(), lastIndex()].
  std::optional<Term> termAt(LogIndex Index) const;
  // The index must be in (baseIndex(), lastIndex()].
  const EntryPtr &at(LogIndex Index) const {
    return m_Entries[Index - m_BaseIndex - 1];
  }
  // Entries from First to Last, limited to MaxBytes of payload; at least one
  // entry if there is any.
  EntryList slice(LogIndex First, LogIndex Last, std::size_t MaxBytes) const;
  // First index of the consecutive entries that have the same term as the entry
  // at the index.
  LogIndex firstOfTerm(LogIndex Index) const;

  // The entry's index must be lastIndex() + 1.
  void append(EntryPtr Entry) { m_Entries.push_back(std::move(Entry)); }
  // Removes the entries from the index on.
  void truncateFrom(LogIndex Index);
  // Removes the entries up to the index, which becomes the base.
  void compactTo(LogIndex Index);

private:
  LogIndex m_BaseIndex = 0;
  Term m_BaseTerm = 0;
  // m_Entries[I] has the index m_BaseIndex + 1 + I; terms never decrease.
  std::deque<EntryPtr> m_Entries;
};

} // namespace mangocart

#endif
