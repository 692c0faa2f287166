// Proposals ordered by retry time and by log index.
#include "Raft/ProposalQueue.h"

#include <algorithm>
#include <utility>

namespace mangocart {

ProposeError noQuorum(std::string Detail) {
  return {ProposeErrorCode::NoQuorum, std::move(Detail)};
}

ProposeError inDoubt(std::string Detail) {
  return {ProposeErrorCode::InDoubt, std::move(Detail)};
}

void ProposalQueue::scheduleRetry(TimePoint Due, PendingProposal Pending) {
  m_Retries.emplace(Due, std::move(Pending));
}

std::vector<PendingProposal> ProposalQueue::takeDue(TimePoint Now) {
  std::vector<PendingProposal> Due;
  while (!m_Retries.empty() && m_Retries.begin()->first <= Now)
    Due.push_back(std::move(m_Retries.extract(m_Retries.begin()).mapped()));
  return Due;
}

void ProposalQueue::addAppended(LogIndex Index, Term EntryTerm,
                                PendingProposal Pending) {
  const TimePoint Deadline = Pending.m_Deadline;
  m_NextDeadline = std::min(m_NextDeadline.value_or(Deadline), Deadline);
  m_Appended[Index] = {EntryTerm, std::move(Pending)};
}

std::optional<ProposalQueue::Outcome>
ProposalQueue::takeApplied(const RaftEntry &Entry) {
  auto Found = m_Appended.extract(Entry.m_Index);
  if (Found.empty())
    return std::nullopt;
  const bool Committed = Found.mapped().m_Term == Entry.m_Term;
  return Outcome{std::move(Found.mapped().m_Proposal), Committed};
}

std::vector<PendingProposal> ProposalQueue::takeInDoubt(LogIndex SnapshotIndex,
                                                        TimePoint Now) {
  std::vector<PendingProposal> Found;
  const bool Passed =
      !m_Appended.empty() && m_Appended.begin()->first <= SnapshotIndex;
  if (!Passed && (!m_NextDeadline || *m_NextDeadline > Now))
    return Found;
  m_NextDeadline.reset();
  for (auto I = m_Appended.begin(); I != m_Appended.end();) {
    const TimePoint Deadline = I->second.m_Proposal.m_Deadline;
    if (I->first <= SnapshotIndex || Deadline <= Now) {
      Found.push_back(std::move(I->second.m_Proposal));
      I = m_Appended.erase(I);
      continue;
    }
    m_NextDeadline = std::min(m_NextDeadline.value_or(Deadline), Deadline);
    ++I;
  }
  return Found;
}

std::vector<PendingProposal> ProposalQueue::takeAll() {
  std::vector<PendingProposal> All = takeDue(TimePoint::max());
  for (auto &[Index, Pending] : m_Appended)
    All.push_back(std::move(Pending.m_Proposal));
  m_Appended.clear();
  return All;
}

std::optional<TimePoint> ProposalQueue::nextDue() const {
  if (m_Retries.empty())
    return m_NextDeadline;
  const TimePoint Retry = m_Retries.begin()->first;
  return std::min(m_NextDeadline.value_or(Retry), Retry);
}

} // namespace mangocart
