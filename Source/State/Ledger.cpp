// Claims, settlements and expiry of ledger records.
#include "State/Ledger.h"

#include <algorithm>
#include <limits>

namespace mangocart {

namespace {

constexpr std::uint64_t MillisecondsPerSecond = 1000;
constexpr std::uint32_t MinRetryAfterMs = 100;

// Memory per record: the row and its share of the index.
constexpr std::size_t RecordBytes = sizeof(LedgerRow) + 16;

std::uint32_t internCustomer(Ledger &State, const std::string &Customer) {
  const auto Next = static_cast<std::uint32_t>(State.m_Customers.size());
  const auto [Found, IsNew] =
      State.m_CustomerNumbers.try_emplace(Customer, Next);
  if (IsNew)
    State.m_Customers.push_back(Customer);
  return Found->second;
}

LedgerSlot findRecord(const Ledger &State, const std::string &Customer,
                      const std::string &Key) {
  const auto Number = State.m_CustomerNumbers.find(Customer);
  if (Number == State.m_CustomerNumbers.end())
    return NoSlot;
  return State.m_Table.find(Number->second, hashKey(Key));
}

std::size_t openClaimBytes(const OpenClaim &Open) {
  return sizeof(OpenClaim) + Open.m_Customer.size() +
         Open.m_IdempotencyKey.size() + Open.m_BackendServer.size() +
         Open.m_Entry.size() + Open.m_RequestId.size();
}

schema::Outcome outcomeToSchema(LedgerOutcome Outcome) {
  switch (Outcome) {
  case LedgerOutcome::InProgress:
    return schema::OUTCOME_UNSPECIFIED;
  case LedgerOutcome::Ran:
    return schema::RAN;
  case LedgerOutcome::NotRun:
    return schema::NOT_RUN;
  case LedgerOutcome::Unknown:
    return schema::UNKNOWN;
  }
  return schema::OUTCOME_UNSPECIFIED;
}

LedgerOutcome outcomeFromSchema(schema::Outcome Outcome) {
  switch (Outcome) {
  case schema::RAN:
    return LedgerOutcome::Ran;
  case schema::NOT_RUN:
    return LedgerOutcome::NotRun;
  case schema::UNKNOWN:
    return LedgerOutcome::Unknown;
  default:
    return LedgerOutcome::InProgress;
  }
}

// The field is set only if the record holds an answer.
template <class Reply> void fillAnswer(const LedgerRow &Row, Reply &Out) {
  if (Row.m_Answer.empty())
    return;
  const std::string_view Bytes = Row.m_Answer.view();
  Out.mutable_answer()->ParseFromArray(Bytes.data(),
                                       static_cast<int>(Bytes.size()));
}

void fillGrant(const OpenClaim &Open, schema::ClaimReply &Reply) {
  Reply.set_verdict(schema::ClaimReply::GRANTED);
  Reply.set_attempt(Open.m_Attempt);
  Reply.set_claim_number(Open.m_ClaimNumber);
  Reply.set_claimed_ms(Open.m_ClaimedMs);
  Reply.set_deadline_ms(Open.m_DeadlineMs);
}

bool hasCapacity(const Ledger &State, std::size_t Bytes) {
  return State.m_Table.size() < State.m_Limits.m_MaxRecords &&
         State.m_Bytes + Bytes <= State.m_Limits.m_MaxBytes;
}

OpenClaim makeOpenClaim(const schema::Claim &Command, std::uint64_t Index,
                        std::uint64_t TimeMs) {
  OpenClaim Open;
  Open.m_Customer = Command.customer();
  Open.m_IdempotencyKey = Command.idempotency_key();
  Open.m_BackendServer = Command.backend_server();
  Open.m_AgentIncarnation = Command.agent_incarnation();
  Open.m_Entry = Command.entry();
  Open.m_RequestId = Command.request_id();
  Open.m_Attempt = Command.attempt();
  Open.m_ClaimNumber = Index;
  Open.m_ClaimedMs = TimeMs;
  Open.m_DeadlineMs = Command.deadline_ms();
  return Open;
}

void addOpenClaim(Ledger &State, LedgerSlot Slot, OpenClaim Open) {
  LedgerRow &Row = State.m_Table[Slot];
  Row.m_ClaimNumber = Open.m_ClaimNumber;
  Row.m_Attempt = static_cast<std::uint16_t>(Open.m_Attempt);
  Row.m_Outcome = LedgerOutcome::InProgress;
  // Clears the value of an earlier attempt, which a restored record doesn't
  // have.
  Row.m_SettledS = 0;
  State.m_Bytes += openClaimBytes(Open);
  const std::uint64_t Number = Open.m_ClaimNumber;
  State.m_Open.emplace(Number, std::move(Open));
}

schema::ClaimReply claimNewKey(Ledger &State, const schema::Claim &Command,
                               std::uint64_t Index, std::uint64_t TimeMs) {
  schema::ClaimReply Reply;
  if (Command.attempt() != 1) {
    Reply.set_verdict(schema::ClaimReply::STALE_ATTEMPT);
    Reply.set_attempt(1);
    return Reply;
  }
  OpenClaim Open = makeOpenClaim(Command, Index, TimeMs);
  if (!hasCapacity(State, RecordBytes + openClaimBytes(Open))) {
    Reply.set_verdict(schema::ClaimReply::LEDGER_FULL);
    return Reply;
  }
  fillGrant(Open, Reply);
  const std::uint32_t Customer = internCustomer(State, Command.customer());
  const LedgerSlot Slot =
      State.m_Table.insert(Customer, hashKey(Command.idempotency_key()));
  State.m_Table[Slot].m_Digest = Command.digest();
  State.m_Bytes += RecordBytes;
  addOpenClaim(State, Slot, std::move(Open));
  return Reply;
}

schema::ClaimReply claimWhileInProgress(const Ledger &State,
                                        const LedgerRow &Row,
                                        const schema::Claim &Command,
                                        std::uint64_t TimeMs) {
  schema::ClaimReply Reply;
  const OpenClaim &Open = State.m_Open.at(Row.m_ClaimNumber);
  const bool IsRepetition = !Command.request_id().empty() &&
                            Command.request_id() == Open.m_RequestId &&
                            Command.entry() == Open.m_Entry &&
                            Command.backend_server() == Open.m_BackendServer &&
                            Command.attempt() == Open.m_Attempt;
  if (IsRepetition) {
    fillGrant(Open, Reply);
    return Reply;
  }
  Reply.set_verdict(schema::ClaimReply::IN_PROGRESS);
  Reply.set_attempt(Open.m_Attempt);
  const std::uint64_t DeadlineMs = Open.m_ClaimedMs + Open.m_DeadlineMs;
  const std::uint64_t RemainingMs =
      DeadlineMs > TimeMs ? DeadlineMs - TimeMs : 0;
  Reply.set_retry_after_ms(static_cast<std::uint32_t>(
      std::max<std::uint64_t>(RemainingMs, MinRetryAfterMs)));
  return Reply;
}

// Removes a record from the list of settled records.
void unlinkSettled(Ledger &State, LedgerSlot Slot) {
  LedgerRow &Row = State.m_Table[Slot];
  (Row.m_Previous == NoSlot ? State.m_OldestSettled
                            : State.m_Table[Row.m_Previous].m_Next) =
      Row.m_Next;
  (Row.m_Next == NoSlot ? State.m_NewestSettled
                        : State.m_Table[Row.m_Next].m_Previous) =
      Row.m_Previous;
  Row.m_Previous = NoSlot;
  Row.m_Next = NoSlot;
}

// Appends a record to the list of settled records.
void appendSettled(Ledger &State, LedgerSlot Slot) {
  State.m_Table[Slot].m_Previous = State.m_NewestSettled;
  if (State.m_NewestSettled == NoSlot)
    State.m_OldestSettled = Slot;
  else
    State.m_Table[State.m_NewestSettled].m_Next = Slot;
  State.m_NewestSettled = Slot;
}

schema::ClaimReply claimNextAttempt(Ledger &State, LedgerSlot Slot,
                                    const schema::Claim &Command,
                                    std::uint64_t Index, std::uint64_t TimeMs) {
  schema::ClaimReply Reply;
  const std::uint32_t NextAttempt = State.m_Table[Slot].m_Attempt + 1U;
  if (Command.attempt() != NextAttempt) {
    Reply.set_verdict(schema::ClaimReply::STALE_ATTEMPT);
    Reply.set_attempt(NextAttempt);
    return Reply;
  }
  OpenClaim Open = makeOpenClaim(Command, Index, TimeMs);
  if (State.m_Bytes + openClaimBytes(Open) > State.m_Limits.m_MaxBytes ||
      NextAttempt > std::numeric_limits<std::uint16_t>::max()) {
    Reply.set_verdict(schema::ClaimReply::LEDGER_FULL);
    return Reply;
  }
  fillGrant(Open, Reply);
  unlinkSettled(State, Slot);
  addOpenClaim(State, Slot, std::move(Open));
  return Reply;
}

schema::ClaimReply knownOutcome(const LedgerRow &Row) {
  schema::ClaimReply Reply;
  Reply.set_verdict(schema::ClaimReply::KNOWN);
  Reply.set_outcome(outcomeToSchema(Row.m_Outcome));
  Reply.set_attempt(Row.m_Attempt);
  fillAnswer(Row, Reply);
  return Reply;
}

void storeAnswer(Ledger &State, LedgerRow &Row,
                 const schema::StoredAnswer &Answer) {
  const std::string Bytes = Answer.SerializeAsString();
  if (Bytes.size() > State.m_Limits.m_MaxAnswerBytes ||
      State.m_Bytes + Bytes.size() > State.m_Limits.m_MaxBytes)
    return;
  Row.m_Answer = CompactBytes(Bytes);
  State.m_Bytes += Bytes.size();
}

std::uint32_t roundUpToSeconds(std::uint64_t TimeMs) {
  return static_cast<std::uint32_t>((TimeMs + MillisecondsPerSecond - 1) /
                                    MillisecondsPerSecond);
}

void settleOpenClaim(Ledger &State, LedgerSlot Slot,
                     const schema::Settle &Command, std::uint64_t TimeMs) {
  LedgerRow &Row = State.m_Table[Slot];
  const auto Open = State.m_Open.find(Row.m_ClaimNumber);
  State.m_Bytes -= openClaimBytes(Open->second);
  State.m_Open.erase(Open);
  Row.m_Outcome = outcomeFromSchema(Command.outcome());
  Row.m_SettledS = roundUpToSeconds(TimeMs);
  if (Row.m_Outcome == LedgerOutcome::Ran && Command.has_answer())
    storeAnswer(State, Row, Command.answer());
  appendSettled(State, Slot);
}

// Replaces the outcome UNKNOWN when the answer arrives late. The record keeps
// its position in the list of settled records, and so its expiry time.
void replaceUnknown(Ledger &State, LedgerRow &Row,
                    const schema::Settle &Command) {
  Row.m_Outcome = LedgerOutcome::Ran;
  if (Command.has_answer())
    storeAnswer(State, Row, Command.answer());
}

void saveRow(const Ledger &State, const LedgerRow &Row,
             schema::LedgerRecord &Record) {
  Record.set_customer(State.m_Customers[Row.m_Customer]);
  Record.set_key_high(Row.m_Key.m_High);
  Record.set_key_low(Row.m_Key.m_Low);
  Record.set_digest(Row.m_Digest);
  Record.set_attempt(Row.m_Attempt);
  Record.set_claim_number(Row.m_ClaimNumber);
  Record.set_outcome(outcomeToSchema(Row.m_Outcome));
  Record.set_settled_ms(Row.m_SettledS * MillisecondsPerSecond);
  fillAnswer(Row, Record);
}

void saveOpen(const OpenClaim &Open, schema::LedgerRecord &Record) {
  Record.set_idempotency_key(Open.m_IdempotencyKey);
  Record.set_backend_server(Open.m_BackendServer);
  Record.set_agent_incarnation(Open.m_AgentIncarnation);
  Record.set_entry(Open.m_Entry);
  Record.set_request_id(Open.m_RequestId);
  Record.set_claimed_ms(Open.m_ClaimedMs);
  Record.set_deadline_ms(Open.m_DeadlineMs);
}

OpenClaim restoreOpen(const schema::LedgerRecord &Record) {
  OpenClaim Open;
  Open.m_Customer = Record.customer();
  Open.m_IdempotencyKey = Record.idempotency_key();
  Open.m_BackendServer = Record.backend_server();
  Open.m_AgentIncarnation = Record.agent_incarnation();
  Open.m_Entry = Record.entry();
  Open.m_RequestId = Record.request_id();
  Open.m_Attempt = Record.attempt();
  Open.m_ClaimNumber = Record.claim_number();
  Open.m_ClaimedMs = Record.claimed_ms();
  Open.m_DeadlineMs = Record.deadline_ms();
  return Open;
}

// Serializes records in chunks, reusing one message.
class RecordWriter {
public:
  explicit RecordWriter(std::string &Out) : m_Out(Out) {}
  ~RecordWriter() { flush(); }
  RecordWriter(const RecordWriter &) = delete;
  RecordWriter &operator=(const RecordWriter &) = delete;

  schema::LedgerRecord &next() {
    if (m_Chunk.ledger_size() == MaxRecordsInChunk)
      flush();
    return *m_Chunk.add_ledger();
  }

private:
  static constexpr int MaxRecordsInChunk = 64;

  void flush() {
    m_Chunk.AppendToString(&m_Out);
    m_Chunk.Clear();
  }

  std::string &m_Out;
  schema::StateSnapshot m_Chunk;
};

} // namespace

schema::ClaimReply claim(Ledger &State, const schema::Claim &Command,
                         std::uint64_t Index, std::uint64_t TimeMs) {
  const LedgerSlot Slot =
      findRecord(State, Command.customer(), Command.idempotency_key());
  if (Slot == NoSlot)
    return claimNewKey(State, Command, Index, TimeMs);
  const LedgerRow &Row = State.m_Table[Slot];
  if (Row.m_Digest != Command.digest()) {
    schema::ClaimReply Reply;
    Reply.set_verdict(schema::ClaimReply::DIGEST_DIFFERS);
    return Reply;
  }
  switch (Row.m_Outcome) {
  case LedgerOutcome::InProgress:
    return claimWhileInProgress(State, Row, Command, TimeMs);
  case LedgerOutcome::NotRun:
    return claimNextAttempt(State, Slot, Command, Index, TimeMs);
  case LedgerOutcome::Ran:
  case LedgerOutcome::Unknown:
    break;
  }
  return knownOutcome(Row);
}

schema::SettleReply settle(Ledger &State, const schema::Settle &Command,
                           std::uint64_t TimeMs) {
  schema::SettleReply Reply;
  const LedgerSlot Slot =
      findRecord(State, Command.customer(), Command.idempotency_key());
  if (Slot == NoSlot)
    return Reply;
  LedgerRow &Row = State.m_Table[Slot];
  const bool IsCurrentClaim = Row.m_ClaimNumber == Command.claim_number() &&
                              Row.m_Attempt == Command.attempt();
  const LedgerOutcome Outcome = outcomeFromSchema(Command.outcome());
  if (IsCurrentClaim && Outcome != LedgerOutcome::InProgress) {
    if (Row.m_Outcome == LedgerOutcome::InProgress)
      settleOpenClaim(State, Slot, Command, TimeMs);
    else if (Row.m_Outcome == LedgerOutcome::Unknown &&
             Outcome == LedgerOutcome::Ran)
      replaceUnknown(State, Row, Command);
  }
  Reply.set_outcome(outcomeToSchema(Row.m_Outcome));
  fillAnswer(Row, Reply);
  return Reply;
}

void expire(Ledger &State, std::uint64_t TimeMs, std::uint64_t RetentionMs) {
  if (RetentionMs == 0)
    return;
  for (std::size_t I = 0; I < State.m_Limits.m_MaxExpiredPerCommand; ++I) {
    const LedgerSlot Slot = State.m_OldestSettled;
    if (Slot == NoSlot)
      return;
    const LedgerRow &Row = State.m_Table[Slot];
    if (Row.m_SettledS * MillisecondsPerSecond + RetentionMs > TimeMs)
      return;
    unlinkSettled(State, Slot);
    State.m_Bytes -= RecordBytes + Row.m_Answer.view().size();
    State.m_Table.erase(Slot);
  }
}

std::vector<OpenClaim> overdueClaims(const Ledger &State, std::uint64_t TimeMs,
                                     std::uint64_t GraceMs,
                                     std::size_t MaxCount) {
  std::vector<OpenClaim> Overdue;
  for (const auto &[Number, Open] : State.m_Open) {
    if (Overdue.size() == MaxCount)
      break;
    if (Open.m_ClaimedMs + Open.m_DeadlineMs + GraceMs < TimeMs)
      Overdue.push_back(Open);
  }
  return Overdue;
}

void appendLedger(const Ledger &State, std::string &Snapshot) {
  RecordWriter Writer(Snapshot);
  for (LedgerSlot Slot = State.m_OldestSettled; Slot != NoSlot;
       Slot = State.m_Table[Slot].m_Next)
    saveRow(State, State.m_Table[Slot], Writer.next());
  for (const auto &[Number, Open] : State.m_Open) {
    const LedgerSlot Slot =
        findRecord(State, Open.m_Customer, Open.m_IdempotencyKey);
    schema::LedgerRecord &Record = Writer.next();
    saveRow(State, State.m_Table[Slot], Record);
    saveOpen(Open, Record);
  }
}

void restoreRecord(Ledger &State, const schema::LedgerRecord &Record) {
  const std::uint32_t Customer = internCustomer(State, Record.customer());
  const LedgerSlot Slot =
      State.m_Table.insert(Customer, {Record.key_high(), Record.key_low()});
  LedgerRow &Row = State.m_Table[Slot];
  Row.m_Digest = Record.digest();
  Row.m_Attempt = static_cast<std::uint16_t>(Record.attempt());
  Row.m_ClaimNumber = Record.claim_number();
  Row.m_Outcome = outcomeFromSchema(Record.outcome());
  State.m_Bytes += RecordBytes;
  if (Row.m_Outcome == LedgerOutcome::InProgress) {
    addOpenClaim(State, Slot, restoreOpen(Record));
    return;
  }
  Row.m_SettledS =
      static_cast<std::uint32_t>(Record.settled_ms() / MillisecondsPerSecond);
  if (Record.has_answer()) {
    const std::string Bytes = Record.answer().SerializeAsString();
    Row.m_Answer = CompactBytes(Bytes);
    State.m_Bytes += Bytes.size();
  }
  appendSettled(State, Slot);
}

} // namespace mangocart
