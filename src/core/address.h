// Where a socket is.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace martenford {

using Address = boost::asio::ip::tcp::endpoint;

/// "10.0.0.4:8443"; nothing where the text is no such address.
std::optional<Address> parse_address(std::string_view text);
std::string text_of(const Address& address);

}  // namespace martenford
