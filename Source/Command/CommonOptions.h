// Options shared by several subcommands, and their evaluation.
#ifndef MANGOCART_COMMAND_COMMONOPTIONS_H
#define MANGOCART_COMMAND_COMMONOPTIONS_H

#include "Command/Command.h"

#include <optional>

namespace mangocart {

// --output text|json
CommandOption outputOption();
bool wantsJson(const CommandValues &Values);

// --admin HOST:PORT and --timeout-s SECONDS
CommandOption adminOption(bool Required);
CommandOption timeoutOption();

// --token-file FILE
CommandOption tokenFileOption();

enum class WithToken { No, Yes };

// Builds a request to the process given by --admin, with the token of
// --token-file if requested. Reports a failure and returns the exit code as the
// error.
Result<AdminRequest, ExitCode> adminRequest(const CommandValues &Values,
                                            WithToken Token,
                                            CommandContext &Context);

// Writes "mangocart: TEXT" to standard error and returns Exit.
ExitCode report(CommandContext &Context, ExitCode Exit,
                const std::string &Text);

// Sends the request and returns the response if its status is a success (202
// for an operation that has only started); otherwise reports the failure.
std::optional<HttpResponse> callForSuccess(const AdminRequest &Request,
                                           CommandContext &Context);

// Describes a failure in one line.
std::string failureText(const AdminRequest &Request,
                        const HttpResponse &Response);
std::string failureText(const AdminRequest &Request, const AdminError &Error);

} // namespace mangocart

#endif
