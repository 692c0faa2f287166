// Parses the command line of the load program with TCLAP.
#include "Load/LoadOptions.h"

#include <tclap/CmdLine.h>

#include <charconv>
#include <iostream>
#include <optional>

namespace mangocart {

namespace {

using Number = TCLAP::ValueArg<std::uint64_t>;
using Real = TCLAP::ValueArg<double>;
using Text = TCLAP::ValueArg<std::string>;
using Texts = TCLAP::MultiArg<std::string>;

[[noreturn]] void fail(const std::string &Argument,
                       const std::string &Expected) {
  throw TCLAP::CmdLineParseException("expected " + Expected, Argument);
}

template <class T> std::optional<T> parseNumber(std::string_view Digits) {
  T Value{};
  const char *Last = Digits.data() + Digits.size();
  const auto Read = std::from_chars(Digits.data(), Last, Value);
  if (Read.ec != std::errc() || Read.ptr != Last)
    return std::nullopt;
  return Value;
}

std::vector<HttpTarget> parseTargets(const Texts &Argument) {
  std::vector<HttpTarget> Targets;
  for (const std::string &Item : Argument.getValue()) {
    const std::size_t Colon = Item.rfind(':');
    const auto Port = Colon == std::string::npos
                          ? std::nullopt
                          : parseNumber<std::uint16_t>(
                                std::string_view(Item).substr(Colon + 1));
    if (!Port)
      fail("--" + Argument.getName(), "IP:PORT, got '" + Item + "'");
    Targets.push_back({Item.substr(0, Colon), *Port});
  }
  return Targets;
}

std::vector<LoadCustomer> parseCustomers(std::string_view List) {
  std::vector<LoadCustomer> Customers;
  while (!List.empty()) {
    const std::string_view Item = List.substr(0, List.find(','));
    List.remove_prefix(std::min(Item.size() + 1, List.size()));
    const std::size_t Colon = Item.find(':');
    std::uint64_t Weight = 1;
    if (Colon != std::string_view::npos)
      Weight = parseNumber<std::uint64_t>(Item.substr(Colon + 1)).value_or(0);
    if (Item.substr(0, Colon).empty() || Weight == 0)
      fail("--customers", "NAME or NAME:WEIGHT, separated by commas");
    Customers.push_back({std::string(Item.substr(0, Colon)), Weight});
  }
  return Customers;
}

void parseMix(std::string_view Mix, LoadOptions &Options) {
  const std::size_t Colon = Mix.find(':');
  const auto Drafts = parseNumber<std::uint64_t>(Mix.substr(0, Colon));
  const auto Bookings = Colon == std::string_view::npos
                            ? std::nullopt
                            : parseNumber<std::uint64_t>(Mix.substr(Colon + 1));
  if (!Drafts || !Bookings || *Drafts + *Bookings == 0)
    fail("--mix", "DRAFTS:BOOKINGS, for example 9:1");
  Options.m_DraftWeight = *Drafts;
  Options.m_BookingWeight = *Bookings;
}

double probability(const Real &Argument) {
  const double Value = Argument.getValue();
  if (!(Value >= 0.0 && Value <= 1.0))
    fail("--" + Argument.getName(), "a number from 0 to 1");
  return Value;
}

std::uint64_t atLeastOne(const Number &Argument) {
  if (Argument.getValue() == 0)
    fail("--" + Argument.getName(), "at least 1");
  return Argument.getValue();
}

LoadOptions parse(int ArgumentCount, const char *const *Arguments) {
  LoadOptions Options;
  TCLAP::CmdLine Line("Sends drafts and bookings, checks each response against "
                      "its request and counts violated guarantees. Exit "
                      "status 1 if there is one. See docs/LOAD.md.",
                      ' ', MANGOCART_VERSION);
  Line.setExceptionHandling(false);
  std::vector<std::string> Outputs{"text", "json"};
  TCLAP::ValuesConstraint<std::string> OutputNames(Outputs);
  Texts Targets("", "target", "targets of requests, used in rotation", true,
                "IP:PORT", Line);
  Texts BookingTargets("", "booking-target",
                       "targets of bookings, if different from drafts", false,
                       "IP:PORT", Line);
  Number Callers("", "callers", "closed loop: concurrent callers", false,
                 Options.m_Callers, "N", Line);
  Real Rate("", "rate", "open loop: requests per second", false, 0.0, "R",
            Line);
  Number Requests("", "requests", "total number of requests", false,
                  Options.m_Requests, "N", Line);
  Text Mix("", "mix", "ratio of drafts to bookings", false, "1:0",
           "DRAFTS:BOOKINGS", Line);
  Text Customers("", "customers", "customers, with weights", false, "customer",
                 "NAME[:WEIGHT],...", Line);
  Number Seed("", "seed", "seed of all random choices", false, Options.m_Seed,
              "N", Line);
  Text RunName("", "run-name", "prefix of request ids and keys", false, "",
               "NAME", Line);
  Real Resend("", "resend-probability",
              "share of bookings resent with the same key", false, 0.0, "P",
              Line);
  Real Race("", "race-probability",
            "share of bookings sent twice concurrently with the same key",
            false, 0.0, "P", Line);
  Number Tokens("", "max-tokens", "tokens per draft", false,
                Options.m_MaxTokens, "N", Line);
  Text DraftPath("", "draft-path", "path of drafts", false, Options.m_DraftPath,
                 "PATH", Line);
  Text BookingPath("", "booking-path", "path of bookings", false,
                   Options.m_BookingPath, "PATH", Line);
  Number Deadline("", "timeout-ms", "timeout of a complete response", false,
                  30000, "MS", Line);
  Number Workers("", "workers", "worker threads", false, Options.m_Workers, "N",
                 Line);
  TCLAP::SwitchArg Direct("", "direct", "the targets are stand-ins", Line);
  Texts RunLogs("", "judge", "run log of a stand-in to compare with", false,
                "LOG", Line);
  Text Output("", "output", "format of the report", false, "text", &OutputNames,
              Line);
  Line.parse(ArgumentCount, Arguments);

  Options.m_Targets = parseTargets(Targets);
  Options.m_BookingTargets = parseTargets(BookingTargets);
  if (Options.m_BookingTargets.empty())
    Options.m_BookingTargets = Options.m_Targets;
  Options.m_Callers = atLeastOne(Callers);
  Options.m_Rate = Rate.getValue();
  if (!(Options.m_Rate >= 0.0))
    fail("--rate", "requests per second, at least 0");
  Options.m_Requests = atLeastOne(Requests);
  parseMix(Mix.getValue(), Options);
  Options.m_Customers = parseCustomers(Customers.getValue());
  if (Options.m_Customers.empty())
    fail("--customers", "at least one name");
  Options.m_Seed = Seed.getValue();
  Options.m_RunName = RunName.getValue();
  if (Options.m_RunName.empty())
    Options.m_RunName =
        "run" + std::to_string(RuntimeClock::wallMilliseconds());
  Options.m_ResendProbability = probability(Resend);
  Options.m_RaceProbability = probability(Race);
  Options.m_MaxTokens = Tokens.getValue();
  Options.m_DraftPath = DraftPath.getValue();
  Options.m_BookingPath = BookingPath.getValue();
  Options.m_Deadline = std::chrono::milliseconds(atLeastOne(Deadline));
  Options.m_Workers = atLeastOne(Workers);
  Options.m_Direct = Direct.getValue();
  Options.m_RunLogs = RunLogs.getValue();
  Options.m_Output =
      Output.getValue() == "json" ? LoadOutput::Json : LoadOutput::Text;
  return Options;
}

} // namespace

std::variant<LoadOptions, ExitCode>
parseLoadOptions(int ArgumentCount, const char *const *Arguments) {
  try {
    return parse(ArgumentCount, Arguments);
  } catch (const TCLAP::ArgException &Error) {
    std::cerr << "mangocart-load: " << Error.argId() << ": " << Error.error()
              << " (see --help)\n";
    return ExitCode::Usage;
  } catch (const TCLAP::ExitException &) {
    // Help or version was printed.
    return ExitCode::Ok;
  }
}

} // namespace mangocart
