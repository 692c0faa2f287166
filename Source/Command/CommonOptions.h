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

// A call to the process that --admin names; absent when the options don't make
// one, which is then reported. Options that a command doesn't declare are left
// out with WithToken = false.
std::optional<AdminRequest> adminRequest(const CommandValues &Values,
                                         bool WithToken,
                                         CommandContext &Context);

// "mangocart: TEXT" on standard error; returns Exit.
CommandExit report(CommandContext &Context, CommandExit Exit,
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
