// A record of the last requests on a client connection, for the log: what was read, what answered it, and on
// which connection to which endpoint that answer came.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/scheduler.h"

namespace martenford {

/// The connection to an endpoint, or to another proxy, on which an answer was read.
struct AnswerOrigin {
    EndpointId endpoint{};
    /// Number among the connections that this process opened; 0: not an endpoint's answer.
    std::uint64_t connection = 0;
    std::uint64_t exchange = 0;  ///< number of the request on that connection
    std::uint64_t skipped = 0;   ///< answers to other requests that were skipped on it so far
    /// "ENDPOINT/CONNECTION/EXCHANGE skipped=N", or "own" if no endpoint answered.
    [[nodiscard]] std::string text() const;
};

/// Bounded: keeps the last kMaxExchanges requests of one connection.
class ConnectionRecord {
  public:
    static constexpr std::size_t kMaxExchanges = 4;
    /// Bytes of a request's name that are kept.
    static constexpr std::size_t kMaxNameBytes = 40;

    /// @param connection number among the connections that the listener accepted
    explicit ConnectionRecord(std::uint64_t connection) : connection_(connection) {}

    /// A request was read completely, or its head and a part of its body.
    /// @param unparsed_bytes bytes that were read after it
    void add_request(std::size_t unparsed_bytes);
    /// Sets the last request's name, once its protocol has read it.
    void set_name(std::string_view name);
    /// Bytes arrived while the last request was open.
    void add_early_bytes(std::size_t count);
    /// The last request is being answered with this status.
    void set_answer(unsigned status, const AnswerOrigin& origin);

    /// "connection=N" and, for each request from the oldest on, "; #N NAME unparsed=N early=N STATUS ORIGIN".
    /// STATUS and ORIGIN are left out while the request is open.
    [[nodiscard]] std::string text() const;

  private:
    struct Exchange {
        std::string name;
        std::size_t unparsed_bytes = 0, early_bytes = 0;
        unsigned status = 0;  // 0: not answered yet
        AnswerOrigin origin;
    };
    [[nodiscard]] Exchange& last() { return exchanges_[(count_ - 1) % kMaxExchanges]; }

    std::uint64_t connection_;
    std::uint64_t count_ = 0;  // number of requests so far
    std::array<Exchange, kMaxExchanges> exchanges_;
};

}  // namespace martenford
