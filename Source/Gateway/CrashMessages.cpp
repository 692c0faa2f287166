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
  for (const auto &[Id, Known] : Seen->second.m_Parts) {
    schema::ImplicatedPart &Part = *Out.add_parts();
    Part.set_id(Id);
    Part.set_sound_fraction(Known.m_SoundFraction);
    Part.set_sound_answers(Known.m_SoundAnswers);
  }
}

void addAcquittal(schema::LoadReport &Report, const ServicePart &Part,
                  TimePoint At, TimePoint Now) {
  schema::PartAcquittal &Out = *Report.add_acquittals();
  Out.set_service(Part.m_Service);
  Out.set_id(Part.m_Part);
  Out.set_ms_ago(millisecondsBetween(At, Now));
}

ServerCrash crashFromSchema(const schema::ServerCrash &Message, TimePoint Now) {
  CrashReport Report;
  Report.m_Requests = Message.requests();
  for (const schema::ImplicatedPart &Each : Message.parts())
    Report.m_Parts[Each.id()] = {inRange(Each.sound_fraction(), 1.0),
                                 inRange(Each.sound_answers(), HUGE_VAL)};
  return {Message.service(),
          Now - milliseconds(Message.ms_ago()),
          {{Message.reporter(), std::move(Report)}}};
}

} // namespace mangocart
