// Socket addresses and their text form.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace martenford {

using Address = boost::asio::ip::tcp::endpoint;

/// Parses "10.0.0.4:8443"; returns nothing if the text is not an address with a port.
std::optional<Address> parse_address(std::string_view text);
std::string text_of(const Address& address);

}  // namespace martenford
