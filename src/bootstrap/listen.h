// Opens the ports of a program at its start.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "bootstrap/program.h"
#include "core/listening_socket.h"

namespace martenford::bootstrap {

/// An address that the settings name.
struct ListenAddress {
    std::string field;  ///< as the settings file names it, e.g. "listen_addrs.control"
    Address address;
    PortSharing sharing = PortSharing::Exclusive;
};

/// Listens on all addresses and returns the sockets in their order. While one of them can't be had yet, such
/// as a port that another process holds, none is kept, and all are tried again: nobody is to connect to a
/// program that can't serve. Returns exit code 0 if SIGTERM or SIGINT comes meanwhile, and kExitBadSettings
/// if waiting can't help. Either is logged.
[[nodiscard]] std::variant<std::vector<ListeningSocket>, ExitCode> listen_on(
    const std::vector<ListenAddress>& addresses);

}  // namespace martenford::bootstrap
