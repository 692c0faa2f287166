// Options that several subcommands share, and what they mean.
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

// A call to the process that --admin names, with the token of --token-file when
// asked. What keeps it from being made is reported; the error is the exit code.
Result<AdminRequest, ExitCode> adminRequest(const CommandValues &Values,
                                            WithToken Token,
                                            CommandContext &Context);

// "mangocart: TEXT" on standard error; returns Exit.
ExitCode report(CommandContext &Context, ExitCode Exit,
                const std::string &Text);

// Makes the call and hands back its answer when its status says success (an
// order that is only begun has 202); else reports the failure.
std::optional<HttpResponse> callForSuccess(const AdminRequest &Request,
                                           CommandContext &Context);

// One line on what the answer says went wrong.
std::string failureText(const AdminRequest &Request,
                        const HttpResponse &Answer);
std::string failureText(const AdminRequest &Request, const AdminError &Error);

} // namespace mangocart

#endif
