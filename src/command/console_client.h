// One call of a running sidecar where operators call, for the sub-commands that ask it.
#pragma once

#include <optional>
#include <string>

#include "core/address.h"

namespace martenford {

/// The address that `given`, else PROXY_CONSOLE, names; nothing, and a line on standard error, where it is
/// none.
std::optional<Address> console_address(const std::string& command, const std::string& given);

/// What it says, without the line END. Nothing where it said no, or did not answer whole within 3 s: a line
/// on standard error tells which. `hint` follows a no.
std::optional<std::string> call_console(const std::string& command, const Address& where,
                                        const std::string& call, const std::string& hint);

}  // namespace martenford
