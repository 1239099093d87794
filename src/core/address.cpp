#include "core/address.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <sstream>
#include <string>

namespace martenford {

std::optional<Address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;
    boost::system::error_code error;
    const auto host = boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [stop, fault] = std::from_chars(text.data() + colon + 1, end, port);
    if (error || fault != std::errc{} || stop != end) return std::nullopt;
    return Address{host, port};
}

std::string text_of(const Address& address) {
    std::ostringstream out;
    out << address;
    return out.str();
}

}  // namespace martenford
