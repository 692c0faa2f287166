// Parses the command line with TCLAP.
#include "Standin/StandinOptions.h"

#include <tclap/CmdLine.h>

#include <iostream>

namespace mangocart {

namespace {

constexpr std::uint64_t MaxPort = 65535;

using NumberArgument = TCLAP::ValueArg<std::uint64_t>;
using TextArgument = TCLAP::ValueArg<std::string>;

StandinOptions parse(int ArgumentCount, const char *const *Arguments) {
  const StandinOptions Defaults;
  TCLAP::CmdLine Line(
      "Simulates a model engine or a plain booking service, with "
      "faults that can be switched on over HTTP. "
      "See docs/STANDIN.md.",
      ' ', MANGOCART_VERSION);
  Line.setExceptionHandling(false);
  std::vector<std::string> Kinds{"engine", "plain"};
  TCLAP::ValuesConstraint<std::string> KindNames(Kinds);
  TextArgument Address("", "address", "IP address to listen on", false,
                       Defaults.m_Address, "IP", Line);
  NumberArgument Port("", "port", "TCP port to listen on, 0 for any free one",
                      false, Defaults.m_Port, "0..65535", Line);
  TextArgument Kind("", "kind", "kind of service to simulate", false, "engine",
                    &KindNames, Line);
  TextArgument Name("", "name", "name reported in responses", false,
                    Defaults.m_Name, "NAME", Line);
  NumberArgument Seed("", "seed", "seed of random choices", false,
                      Defaults.m_Seed, "N", Line);
  NumberArgument Service("", "service-time-ms",
                         "time until the first token, or of one booking", false,
                         0, "MS", Line);
  NumberArgument Interval("", "token-interval-ms", "time between tokens", false,
                          0, "MS", Line);
  NumberArgument Slots(
      "", "slots", "requests processed concurrently; further ones are queued",
      false, Defaults.m_Slots, "N", Line);
  NumberArgument Lag("", "load-lag-ms",
                     "sampling interval of the figures of GET /load", false,
                     200, "MS", Line);
  NumberArgument CacheBlocks("", "cache-blocks",
                             "blocks of 16 prompt bytes in the prefix cache",
                             false, Defaults.m_CacheBlocks, "N", Line);
  TextArgument RunLog("", "log",
                      "file to which each executed booking is appended", false,
                      "", "FILE", Line);
  TextArgument OrderLog("", "order-log",
                        "file to which each executed order is appended", false,
                        "", "FILE", Line);
  TCLAP::SwitchArg CheckFencing("", "check-fencing",
                                "reject orders with an outdated fencing number",
                                Line);
  Line.parse(ArgumentCount, Arguments);
  if (Port.getValue() > MaxPort)
    throw TCLAP::CmdLineParseException("expected at most 65535", "--port");
  if (Slots.getValue() == 0)
    throw TCLAP::CmdLineParseException("expected at least 1", "--slots");

  using std::chrono::milliseconds;
  StandinOptions Options;
  Options.m_Address = Address.getValue();
  Options.m_Port = static_cast<std::uint16_t>(Port.getValue());
  Options.m_Kind =
      Kind.getValue() == "plain" ? StandinKind::Plain : StandinKind::Engine;
  Options.m_Name = Name.getValue();
  Options.m_Seed = Seed.getValue();
  Options.m_ServiceTime = milliseconds(Service.getValue());
  Options.m_TokenInterval = milliseconds(Interval.getValue());
  Options.m_Slots = Slots.getValue();
  Options.m_LoadLag = milliseconds(Lag.getValue());
  Options.m_CacheBlocks = CacheBlocks.getValue();
  Options.m_RunLog = RunLog.getValue();
  Options.m_OrderLog = OrderLog.getValue();
  Options.m_CheckFencing = CheckFencing.getValue();
  return Options;
}

} // namespace

std::variant<StandinOptions, ExitCode>
parseStandinOptions(int ArgumentCount, const char *const *Arguments) {
  try {
    return parse(ArgumentCount, Arguments);
  } catch (const TCLAP::ArgException &Error) {
    std::cerr << "mangocart-standin: " << Error.argId() << ": " << Error.error()
              << " (see --help)\n";
    return ExitCode::Usage;
  } catch (const TCLAP::ExitException &) {
    // Help or version was printed.
    return ExitCode::Ok;
  }
}

} // namespace mangocart
