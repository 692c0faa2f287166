// mangocart timeline: merges the event logs of several processes.
#include "Command/Commands.h"
#include "Command/CommonOptions.h"
#include "Events/Timeline.h"

#include <fmt/format.h>

#include <ostream>

namespace mangocart {

namespace {

void reportFaults(const TimelineReport &Report, CommandContext &Context) {
  for (const TimelineFault &Fault : Report.m_Faults)
    Context.m_Err << toString(Fault) << "\n";
  if (Report.m_FaultCount > Report.m_Faults.size())
    Context.m_Err << fmt::format("{} more invalid lines are not shown\n",
                                 Report.m_FaultCount - Report.m_Faults.size());
  if (Report.m_Late != 0)
    Context.m_Err << fmt::format("{} events are out of timestamp order\n",
                                 Report.m_Late);
}

ExitCode run(const CommandValues &Values, CommandContext &Context) {
  TimelineOptions Options;
  Options.m_Request = Values.value("request");
  Options.m_Format =
      wantsJson(Values) ? TimelineFormat::Json : TimelineFormat::Text;
  const auto Report =
      mergeTimeline(Values.values("LOG"), Options, Context.m_Out);
  if (!Report)
    return report(
        Context, ExitCode::Failed,
        fmt::format("{}: {}", Report.error().m_File, Report.error().m_Message));
  reportFaults(Report.value(), Context);
  return ExitCode::Ok;
}

} // namespace

Command timelineCommand() {
  return {"timeline",
          "Merge event logs of several processes into one time line.",
          {{OptionKind::Value,
            "request",
            "ID",
            "",
            false,
            {},
            "Only events of this request."},
           outputOption(),
           {OptionKind::PositionalList,
            "LOG",
            "",
            "",
            true,
            {},
            "Event log of a process."}},
          run};
}

} // namespace mangocart
