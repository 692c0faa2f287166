#include "Entry/ShareExchange.h"

#include "Configuration/ConfigurationHolder.h"
#include "Core/Hash.h"
#include "Core/WorkerPool.h"
#include "Entry/AdmissionController.h"
#include "Entry/EntryContext.h"
#include "Net/PeerStream.h"
#include "Raft/RaftRunner.h"

#include <boost/asio/post.hpp>

namespace mangocart {

namespace {

constexpr const char *SharesMethod = "/entry/shares";
constexpr Duration ReportInterval = std::chrono::milliseconds(500);
constexpr Duration ReplyTimeout = std::chrono::seconds(1);

const LimitShareOptions ShareOptions;

std::int64_t toMicroseconds(TimePoint Time) {
  return Time.time_since_epoch().count();
}

TimePoint fromMicroseconds(std::int64_t Microseconds) {
  return TimePoint(Duration(Microseconds));
}

schema::ShareReportMessage toMessage(const ShareReport &Report) {
  schema::ShareReportMessage Message;
  Message.set_entry(Report.m_Entry);
  Message.set_generation(Report.m_Generation);
  Message.set_sent_at_us(toMicroseconds(Report.m_SentAt));
  Message.set_term(Report.m_Term);
  Message.set_applied(Report.m_Applied);
  Message.set_urgent(Report.m_Urgent);
  for (const CustomerDemand &Demand : Report.m_Demands) {
    schema::ShareDemand *Copy = Message.add_demands();
    Copy->set_customer(Demand.m_Customer);
    Copy->set_tokens_per_second(Demand.m_Demand);
  }
  return Message;
}

ShareReport fromMessage(const schema::ShareReportMessage &Message) {
  ShareReport Report;
  Report.m_Entry = Message.entry();
  Report.m_Generation = Message.generation();
  Report.m_SentAt = fromMicroseconds(Message.sent_at_us());
  Report.m_Term = Message.term();
  Report.m_Applied = Message.applied();
  Report.m_Urgent = Message.urgent();
  for (const schema::ShareDemand &Demand : Message.demands())
    Report.m_Demands.push_back({Demand.customer(), Demand.tokens_per_second()});
  return Report;
}

schema::ShareReplyMessage toMessage(const ShareReply &Reply) {
  schema::ShareReplyMessage Message;
  Message.set_answered(true);
  Message.set_term(Reply.m_Term);
  Message.set_sequence(Reply.m_Sequence);
  Message.set_generation(Reply.m_Generation);
  Message.set_report_sent_at_us(toMicroseconds(Reply.m_ReportSentAt));
  for (const ShareGrant &Grant : Reply.m_Grants) {
    schema::ShareDemand *Copy = Message.add_grants();
    Copy->set_customer(Grant.m_Customer);
    Copy->set_tokens_per_second(Grant.m_Floating);
  }
  return Message;
}

ShareReply fromMessage(const schema::ShareReplyMessage &Message) {
  ShareReply Reply;
  Reply.m_Term = Message.term();
  Reply.m_Sequence = Message.sequence();
  Reply.m_Generation = Message.generation();
  Reply.m_ReportSentAt = fromMicroseconds(Message.report_sent_at_us());
  for (const schema::ShareDemand &Grant : Message.grants())
    Reply.m_Grants.push_back({Grant.customer(), Grant.tokens_per_second()});
  return Reply;
}

} // namespace

ShareExchange::ShareExchange(EntryContext &Context, const RaftRunner &Log)
    : m_Context(Context), m_Log(Log), m_Timer(Context.m_Workers.worker(0)) {}

void ShareExchange::start() {
  boost::asio::post(m_Timer.get_executor(),
                    [Self = shared_from_this()] { Self->tick(); });
}

void ShareExchange::tick() {
  report();
  m_Timer.expires_after(ReportInterval);
  m_Timer.async_wait(
      [Self = shared_from_this()](boost::system::error_code Error) {
        if (!Error)
          Self->tick();
      });
}

const std::map<std::uint64_t, double> &ShareExchange::limits() {
  const ConfigurationPtr InForce = m_Context.m_Configuration.current();
  if (InForce->version() == m_LimitsVersion)
    return m_Limits;
  m_LimitsVersion = InForce->version();
  m_Limits.clear();
  for (const schema::Customer &Customer : InForce->customers())
    if (Customer.max_tokens_per_second() > 0)
      m_Limits[hash64(Customer.name())] = Customer.max_tokens_per_second();
  return m_Limits;
}

void ShareExchange::report() {
  const std::string Leader = m_Log.leader();
  for (const schema::PeerAddress &Entry : m_Context.m_Settings.entries()) {
    if (Entry.name() != Leader)
      continue;
    m_Context.m_Peers.call(
        {Entry.address(), static_cast<std::uint16_t>(Entry.peer_port())},
        SharesMethod,
        toMessage(m_Context.m_Admission.makeShareReport()).SerializeAsString(),
        ReplyTimeout,
        [Self =
             shared_from_this()](const Result<std::string, PeerError> &Bytes) {
          schema::ShareReplyMessage Reply;
          if (Bytes && Reply.ParseFromString(Bytes.value()) && Reply.answered())
            Self->m_Context.m_Admission.applyShareReply(fromMessage(Reply));
        });
  }
}

schema::ShareReplyMessage
ShareExchange::receive(const schema::ShareReportMessage &Message) {
  const TimePoint Now = RuntimeClock::now();
  const std::lock_guard Lock(m_Mutex);
  if (!m_Log.isLeader() || !m_Log.leaseHeld()) {
    m_Planner.reset();
    return {};
  }
  const std::uint64_t Term = m_Log.status().m_Term;
  if (!m_Planner || m_Planner->m_Term != Term)
    m_Planner = startPlanner(
        Term, static_cast<std::uint32_t>(m_Context.m_Settings.entries_size()),
        ShareOptions, Now);
  const auto Reply = handleReport(*m_Planner, fromMessage(Message), limits(),
                                  ShareOptions, Now);
  return Reply ? toMessage(*Reply) : schema::ShareReplyMessage();
}

} // namespace mangocart
