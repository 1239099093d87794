// Sends one command to the console of a running sidecar, for the subcommands that query it.
#pragma once

#include <optional>
#include <string>

#include "core/address.h"

namespace martenford {

/// Parses `given`, or else PROXY_CONSOLE, as an address. If it is not valid, returns nothing and prints a
/// line on standard error.
std::optional<Address> console_address(const std::string& command, const std::string& given);

/// Returns the reply without the line END. Returns nothing and prints a line on standard error if the sidecar
/// refused or did not reply completely within 3 s. `hint` is appended to the text of a refusal.
std::optional<std::string> call_console(const std::string& command, const Address& where,
                                        const std::string& call, const std::string& hint);

}  // namespace martenford
