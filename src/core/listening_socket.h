// A TCP socket that listens, before an event loop takes it over.
#pragma once

#include <boost/system/error_code.hpp>
#include <cstdint>
#include <utility>
#include <variant>

#include "core/address.h"

namespace martenford {

/// Who else may listen on the same address and port.
enum class PortSharing : std::uint8_t {
    Exclusive,
    WithSuccessor  ///< other processes that ask for the same (SO_REUSEPORT)
};

/// Owns a descriptor that listens.
class ListeningSocket {
  public:
    using OpenResult = std::variant<ListeningSocket, boost::system::error_code>;

    /// Listens on the address, also while connections of an earlier process are in TIME_WAIT.
    [[nodiscard]] static OpenResult open(const Address& address, PortSharing sharing);
    /// The same, where a failure is not expected. Throws boost::system::system_error.
    [[nodiscard]] static ListeningSocket open_or_throw(const Address& address, PortSharing sharing);

    ListeningSocket(ListeningSocket&& other) noexcept
        : protocol_(other.protocol_), descriptor_(std::exchange(other.descriptor_, -1)) {}
    ListeningSocket& operator=(ListeningSocket&& other) noexcept {
        std::swap(protocol_, other.protocol_);
        std::swap(descriptor_, other.descriptor_);
        return *this;
    }
    ListeningSocket(const ListeningSocket&) = delete;
    ListeningSocket& operator=(const ListeningSocket&) = delete;
    ~ListeningSocket();

    [[nodiscard]] boost::asio::ip::tcp protocol() const { return protocol_; }
    /// Gives up the descriptor, which the caller closes.
    [[nodiscard]] int release() { return std::exchange(descriptor_, -1); }

  private:
    ListeningSocket(boost::asio::ip::tcp protocol, int descriptor)
        : protocol_(protocol), descriptor_(descriptor) {}

    boost::asio::ip::tcp protocol_;
    int descriptor_;
};

/// Whether the cause of a failed open() may pass by itself: a port or an address that is not free yet, or a
/// lack of descriptors or memory. Others, such as a missing right, last until somebody changes the settings.
[[nodiscard]] bool may_pass(const boost::system::error_code& cause);

}  // namespace martenford
