// Claims, settlements and expiry of the ledger.
#include "State/Ledger.h"

#include <algorithm>
#include <limits>

namespace mangocart {

namespace {

constexpr std::uint64_t MillisecondsPerSecond = 1000;
constexpr std::uint32_t MinRetryAfterMs = 100;

// What one record costs: the cell and its share of the index.
constexpr std::size_t RecordBytes = sizeof(LedgerCell) + 16;

std::uint32_t customerNumber(Ledger &Book, const std::string &Customer) {
  const auto Next = static_cast<std::uint32_t>(Book.m_Customers.size());
  const auto [Found, IsNew] =
      Book.m_CustomerNumbers.try_emplace(Customer, Next);
  if (IsNew)
    Book.m_Customers.push_back(Customer);
  return Found->second;
}

LedgerSlot findRecord(const Ledger &Book, const std::string &Customer,
                      const std::string &Key) {
  const auto Number = Book.m_CustomerNumbers.find(Customer);
  if (Number == Book.m_CustomerNumbers.end())
    return NoSlot;
  return Book.m_Table.find(Number->second, hashKey(Key));
}

std::size_t openBytes(const OpenClaim &Open) {
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

// Only a record that holds an answer has the field.
template <class Reply> void fillAnswer(const LedgerCell &Cell, Reply &Out) {
  if (Cell.m_Answer.empty())
    return;
  const std::string_view Bytes = Cell.m_Answer.view();
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

bool hasRoom(const Ledger &Book, std::size_t Bytes) {
  return Book.m_Table.size() < Book.m_Limits.m_MaxRecords &&
         Book.m_Bytes + Bytes <= Book.m_Limits.m_MaxBytes;
}

OpenClaim openClaim(const schema::Claim &Command, std::uint64_t Index,
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

void open(Ledger &Book, LedgerSlot Slot, OpenClaim Open) {
  LedgerCell &Cell = Book.m_Table[Slot];
  Cell.m_ClaimNumber = Open.m_ClaimNumber;
  Cell.m_Attempt = static_cast<std::uint16_t>(Open.m_Attempt);
  Cell.m_Outcome = LedgerOutcome::InProgress;
  // Of an earlier attempt; a restored record has none.
  Cell.m_SettledS = 0;
  Book.m_Bytes += openBytes(Open);
  const std::uint64_t Number = Open.m_ClaimNumber;
  Book.m_Open.emplace(Number, std::move(Open));
}

schema::ClaimReply claimNew(Ledger &Book, const schema::Claim &Command,
                            std::uint64_t Index, std::uint64_t TimeMs) {
  schema::ClaimReply Reply;
  if (Command.attempt() != 1) {
    Reply.set_verdict(schema::ClaimReply::STALE_ATTEMPT);
    Reply.set_attempt(1);
    return Reply;
  }
  OpenClaim Open = openClaim(Command, Index, TimeMs);
  if (!hasRoom(Book, RecordBytes + openBytes(Open))) {
    Reply.set_verdict(schema::ClaimReply::LEDGER_FULL);
    return Reply;
  }
  fillGrant(Open, Reply);
  const std::uint32_t Customer = customerNumber(Book, Command.customer());
  const LedgerSlot Slot =
      Book.m_Table.insert(Customer, hashKey(Command.idempotency_key()));
  Book.m_Table[Slot].m_Digest = Command.digest();
  Book.m_Bytes += RecordBytes;
  open(Book, Slot, std::move(Open));
  return Reply;
}

schema::ClaimReply claimInProgress(const Ledger &Book, const LedgerCell &Cell,
                                   const schema::Claim &Command,
                                   std::uint64_t TimeMs) {
  schema::ClaimReply Reply;
  const OpenClaim &Open = Book.m_Open.at(Cell.m_ClaimNumber);
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
  const std::uint64_t Due = Open.m_ClaimedMs + Open.m_DeadlineMs;
  const std::uint64_t Left = Due > TimeMs ? Due - TimeMs : 0;
  Reply.set_retry_after_ms(static_cast<std::uint32_t>(
      std::max<std::uint64_t>(Left, MinRetryAfterMs)));
  return Reply;
}

// Takes a record out of the order of settlement.
void unchain(Ledger &Book, LedgerSlot Slot) {
  LedgerCell &Cell = Book.m_Table[Slot];
  (Cell.m_Previous == NoSlot ? Book.m_OldestSettled
                             : Book.m_Table[Cell.m_Previous].m_Next) =
      Cell.m_Next;
  (Cell.m_Next == NoSlot ? Book.m_NewestSettled
                         : Book.m_Table[Cell.m_Next].m_Previous) =
      Cell.m_Previous;
  Cell.m_Previous = NoSlot;
  Cell.m_Next = NoSlot;
}

// Puts a record at the end of the order of settlement.
void chain(Ledger &Book, LedgerSlot Slot) {
  Book.m_Table[Slot].m_Previous = Book.m_NewestSettled;
  if (Book.m_NewestSettled == NoSlot)
    Book.m_OldestSettled = Slot;
  else
    Book.m_Table[Book.m_NewestSettled].m_Next = Slot;
  Book.m_NewestSettled = Slot;
}

schema::ClaimReply claimNext(Ledger &Book, LedgerSlot Slot,
                             const schema::Claim &Command, std::uint64_t Index,
                             std::uint64_t TimeMs) {
  schema::ClaimReply Reply;
  const std::uint32_t Next = Book.m_Table[Slot].m_Attempt + 1U;
  if (Command.attempt() != Next) {
    Reply.set_verdict(schema::ClaimReply::STALE_ATTEMPT);
    Reply.set_attempt(Next);
    return Reply;
  }
  OpenClaim Open = openClaim(Command, Index, TimeMs);
  if (Book.m_Bytes + openBytes(Open) > Book.m_Limits.m_MaxBytes ||
      Next > std::numeric_limits<std::uint16_t>::max()) {
    Reply.set_verdict(schema::ClaimReply::LEDGER_FULL);
    return Reply;
  }
  fillGrant(Open, Reply);
  unchain(Book, Slot);
  open(Book, Slot, std::move(Open));
  return Reply;
}

schema::ClaimReply known(const LedgerCell &Cell) {
  schema::ClaimReply Reply;
  Reply.set_verdict(schema::ClaimReply::KNOWN);
  Reply.set_outcome(outcomeToSchema(Cell.m_Outcome));
  Reply.set_attempt(Cell.m_Attempt);
  fillAnswer(Cell, Reply);
  return Reply;
}

void storeAnswer(Ledger &Book, LedgerCell &Cell,
                 const schema::StoredAnswer &Answer) {
  const std::string Bytes = Answer.SerializeAsString();
  if (Bytes.size() > Book.m_Limits.m_MaxAnswerBytes ||
      Book.m_Bytes + Bytes.size() > Book.m_Limits.m_MaxBytes)
    return;
  Cell.m_Answer = CompactBytes(Bytes);
  Book.m_Bytes += Bytes.size();
}

std::uint32_t roundUpToSeconds(std::uint64_t TimeMs) {
  return static_cast<std::uint32_t>((TimeMs + MillisecondsPerSecond - 1) /
                                    MillisecondsPerSecond);
}

void close(Ledger &Book, LedgerSlot Slot, const schema::Settle &Command,
           std::uint64_t TimeMs) {
  LedgerCell &Cell = Book.m_Table[Slot];
  const auto Open = Book.m_Open.find(Cell.m_ClaimNumber);
  Book.m_Bytes -= openBytes(Open->second);
  Book.m_Open.erase(Open);
  Cell.m_Outcome = outcomeFromSchema(Command.outcome());
  Cell.m_SettledS = roundUpToSeconds(TimeMs);
  if (Cell.m_Outcome == LedgerOutcome::Ran && Command.has_answer())
    storeAnswer(Book, Cell, Command.answer());
  chain(Book, Slot);
}

// UNKNOWN said that nobody knew; the answer itself is knowledge. The record
// keeps its place in the order of expiry.
void refine(Ledger &Book, LedgerCell &Cell, const schema::Settle &Command) {
  Cell.m_Outcome = LedgerOutcome::Ran;
  if (Command.has_answer())
    storeAnswer(Book, Cell, Command.answer());
}

void saveCell(const Ledger &Book, const LedgerCell &Cell,
              schema::LedgerRecord &Record) {
  Record.set_customer(Book.m_Customers[Cell.m_Customer]);
  Record.set_key_high(Cell.m_Key.m_High);
  Record.set_key_low(Cell.m_Key.m_Low);
  Record.set_digest(Cell.m_Digest);
  Record.set_attempt(Cell.m_Attempt);
  Record.set_claim_number(Cell.m_ClaimNumber);
  Record.set_outcome(outcomeToSchema(Cell.m_Outcome));
  Record.set_settled_ms(Cell.m_SettledS * MillisecondsPerSecond);
  fillAnswer(Cell, Record);
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

// Serializes records a few at a time, with one message used again and again.
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

schema::ClaimReply claim(Ledger &Book, const schema::Claim &Command,
                         std::uint64_t Index, std::uint64_t TimeMs) {
  const LedgerSlot Slot =
      findRecord(Book, Command.customer(), Command.idempotency_key());
  if (Slot == NoSlot)
    return claimNew(Book, Command, Index, TimeMs);
  const LedgerCell &Cell = Book.m_Table[Slot];
  if (Cell.m_Digest != Command.digest()) {
    schema::ClaimReply Reply;
    Reply.set_verdict(schema::ClaimReply::DIGEST_DIFFERS);
    return Reply;
  }
  switch (Cell.m_Outcome) {
  case LedgerOutcome::InProgress:
    return claimInProgress(Book, Cell, Command, TimeMs);
  case LedgerOutcome::NotRun:
    return claimNext(Book, Slot, Command, Index, TimeMs);
  case LedgerOutcome::Ran:
  case LedgerOutcome::Unknown:
    break;
  }
  return known(Cell);
}

schema::SettleReply settle(Ledger &Book, const schema::Settle &Command,
                           std::uint64_t TimeMs) {
  schema::SettleReply Reply;
  const LedgerSlot Slot =
      findRecord(Book, Command.customer(), Command.idempotency_key());
  if (Slot == NoSlot)
    return Reply;
  LedgerCell &Cell = Book.m_Table[Slot];
  const bool IsThisClaim = Cell.m_ClaimNumber == Command.claim_number() &&
                           Cell.m_Attempt == Command.attempt();
  const LedgerOutcome Outcome = outcomeFromSchema(Command.outcome());
  if (IsThisClaim && Outcome != LedgerOutcome::InProgress) {
    if (Cell.m_Outcome == LedgerOutcome::InProgress)
      close(Book, Slot, Command, TimeMs);
    else if (Cell.m_Outcome == LedgerOutcome::Unknown &&
             Outcome == LedgerOutcome::Ran)
      refine(Book, Cell, Command);
  }
  Reply.set_outcome(outcomeToSchema(Cell.m_Outcome));
  fillAnswer(Cell, Reply);
  return Reply;
}

void expire(Ledger &Book, std::uint64_t TimeMs, std::uint64_t RetentionMs) {
  if (RetentionMs == 0)
    return;
  for (std::size_t I = 0; I < Book.m_Limits.m_MaxExpiredAtOnce; ++I) {
    const LedgerSlot Slot = Book.m_OldestSettled;
    if (Slot == NoSlot)
      return;
    const LedgerCell &Cell = Book.m_Table[Slot];
    if (Cell.m_SettledS * MillisecondsPerSecond + RetentionMs > TimeMs)
      return;
    unchain(Book, Slot);
    Book.m_Bytes -= RecordBytes + Cell.m_Answer.view().size();
    Book.m_Table.erase(Slot);
  }
}

std::vector<OpenClaim> overdueClaims(const Ledger &Book, std::uint64_t TimeMs,
                                     std::uint64_t GraceMs,
                                     std::size_t MaxCount) {
  std::vector<OpenClaim> Overdue;
  for (const auto &[Number, Open] : Book.m_Open) {
    if (Overdue.size() == MaxCount)
      break;
    if (Open.m_ClaimedMs + Open.m_DeadlineMs + GraceMs < TimeMs)
      Overdue.push_back(Open);
  }
  return Overdue;
}

void appendLedger(const Ledger &Book, std::string &Snapshot) {
  RecordWriter Writer(Snapshot);
  for (LedgerSlot At = Book.m_OldestSettled; At != NoSlot;
       At = Book.m_Table[At].m_Next)
    saveCell(Book, Book.m_Table[At], Writer.next());
  for (const auto &[Number, Open] : Book.m_Open) {
    const LedgerSlot Slot =
        findRecord(Book, Open.m_Customer, Open.m_IdempotencyKey);
    schema::LedgerRecord &Record = Writer.next();
    saveCell(Book, Book.m_Table[Slot], Record);
    saveOpen(Open, Record);
  }
}

void restoreRecord(Ledger &Book, const schema::LedgerRecord &Record) {
  const std::uint32_t Customer = customerNumber(Book, Record.customer());
  const LedgerSlot Slot =
      Book.m_Table.insert(Customer, {Record.key_high(), Record.key_low()});
  LedgerCell &Cell = Book.m_Table[Slot];
  Cell.m_Digest = Record.digest();
  Cell.m_Attempt = static_cast<std::uint16_t>(Record.attempt());
  Cell.m_ClaimNumber = Record.claim_number();
  Cell.m_Outcome = outcomeFromSchema(Record.outcome());
  Book.m_Bytes += RecordBytes;
  if (Cell.m_Outcome == LedgerOutcome::InProgress) {
    open(Book, Slot, restoreOpen(Record));
    return;
  }
  Cell.m_SettledS =
      static_cast<std::uint32_t>(Record.settled_ms() / MillisecondsPerSecond);
  if (Record.has_answer()) {
    const std::string Bytes = Record.answer().SerializeAsString();
    Cell.m_Answer = CompactBytes(Bytes);
    Book.m_Bytes += Bytes.size();
  }
  chain(Book, Slot);
}

} // namespace mangocart
