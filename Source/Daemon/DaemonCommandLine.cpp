// Parses the daemons' command line with TCLAP.
#include "Daemon/DaemonCommandLine.h"

#include <tclap/CmdLine.h>

#include <iostream>

namespace mangocart {

DaemonCommandLine parseDaemonCommandLine(int Argc, const char *const *Argv,
                                         const std::string &Purpose) {
  try {
    TCLAP::CmdLine Line(Purpose, ' ', MANGOCART_VERSION);
    Line.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> Settings(
        "s", "settings", "TOML file with the settings of this process", true,
        "", "FILE", Line);
    Line.parse(Argc, Argv);
    return {DaemonArguments{Settings.getValue()}, ExitCode::Ok};
  } catch (const TCLAP::ExitException &) {
    // Help or version was printed.
    return {std::nullopt, ExitCode::Ok};
  } catch (const TCLAP::ArgException &Error) {
    std::cerr << "usage: " << Error.error() << " " << Error.argId()
              << "; see --help\n";
    return {std::nullopt, ExitCode::Usage};
  }
}

} // namespace mangocart
