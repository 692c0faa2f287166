#include "Gateway/CrashMessages.h"

#include "Core/Milliseconds.h"
#include "Gateway.pb.h"

#include <algorithm>
#include <cmath>

namespace mangocart {

namespace {

using std::chrono::milliseconds;

// Rejects what is no number, too.
double inRange(double Value, double Max) {
  return Value >= 0.0 ? std::min(Value, Max) : 0.0;
}

schema::SuspectKind toSchema(SuspectKind Kind) {
  switch (Kind) {
  case SuspectKind::Request:
    return schema::REQUEST;
  case SuspectKind::PromptPart:
    break;
  }
  return schema::PROMPT_PART;
}

// A gateway of a later version may know more kinds.
std::optional<SuspectKind> fromSchema(schema::SuspectKind Kind) {
  switch (Kind) {
  case schema::PROMPT_PART:
    return SuspectKind::PromptPart;
  case schema::REQUEST:
    return SuspectKind::Request;
  default:
    return std::nullopt;
  }
}

} // namespace

void addCrash(schema::LoadReport &Report, const ServerRun &Run,
              const ServerCrash &Crash, const std::string &Reporter,
              TimePoint Now) {
  const auto Seen = Crash.m_Reports.find(Reporter);
  if (Seen == Crash.m_Reports.end())
    return;
  schema::ServerCrash &Out = *Report.add_crashes();
  Out.set_backend_server(Run.m_BackendServer);
  Out.set_incarnation(Run.m_Incarnation);
  Out.set_service(Crash.m_Service);
  Out.set_ms_ago(millisecondsBetween(Crash.m_At, Now));
  Out.set_reporter(Reporter);
  Out.set_requests(Seen->second.m_Requests);
  for (const auto &[Id, Known] : Seen->second.m_Suspects) {
    schema::ImplicatedSuspect &Each = *Out.add_suspects();
    Each.set_kind(toSchema(Id.m_Kind));
    Each.set_id(Id.m_Text);
    Each.set_sound_fraction(Known.m_SoundFraction);
    Each.set_sound_answers(Known.m_SoundAnswers);
  }
}

void addAcquittal(schema::LoadReport &Report, const Suspect &Of, TimePoint At,
                  TimePoint Now) {
  schema::Acquittal &Out = *Report.add_acquittals();
  Out.set_service(Of.m_Service);
  Out.set_kind(toSchema(Of.m_Id.m_Kind));
  Out.set_id(Of.m_Id.m_Text);
  Out.set_ms_ago(millisecondsBetween(At, Now));
}

std::optional<Suspect> suspectFromSchema(const schema::Acquittal &Message) {
  const auto Kind = fromSchema(Message.kind());
  if (!Kind)
    return std::nullopt;
  return Suspect{Message.service(), {*Kind, Message.id()}};
}

ServerCrash crashFromSchema(const schema::ServerCrash &Message, TimePoint Now) {
  CrashReport Report;
  Report.m_Requests = Message.requests();
  for (const schema::ImplicatedSuspect &Each : Message.suspects())
    if (const auto Kind = fromSchema(Each.kind()))
      Report.m_Suspects[{*Kind, Each.id()}] = {
          inRange(Each.sound_fraction(), 1.0),
          inRange(Each.sound_answers(), HUGE_VAL)};
  return {Message.service(),
          Now - milliseconds(Message.ms_ago()),
          {{Message.reporter(), std::move(Report)}}};
}

} // namespace mangocart
