#include "http1/connection_record.h"

#include <algorithm>

namespace martenford {

std::string AnswerOrigin::text() const {
    if (connection == 0) return "own";
    return std::to_string(static_cast<std::uint64_t>(endpoint)) + "/" + std::to_string(connection) + "/" +
           std::to_string(exchange) + " skipped=" + std::to_string(skipped);
}

void ConnectionRecord::add_request(std::size_t unparsed_bytes) {
    ++count_;
    Exchange& exchange = last();
    exchange.name.clear();
    exchange.unparsed_bytes = unparsed_bytes;
    exchange.early_bytes = 0;
    exchange.status = 0;
    exchange.origin = {};
}

void ConnectionRecord::set_name(std::string_view name) {
    if (count_ > 0) last().name.assign(name.substr(0, kMaxNameBytes));
}

void ConnectionRecord::add_early_bytes(std::size_t count) {
    if (count_ > 0) last().early_bytes += count;
}

void ConnectionRecord::set_answer(unsigned status, const AnswerOrigin& origin) {
    if (count_ == 0) return;
    last().status = status;
    last().origin = origin;
}

std::string ConnectionRecord::text() const {
    std::string text = "connection=" + std::to_string(connection_);
    const std::uint64_t kept = std::min<std::uint64_t>(count_, kMaxExchanges);
    for (std::uint64_t i = count_ - kept; i < count_; ++i) {
        const Exchange& exchange = exchanges_[i % kMaxExchanges];
        text += "; #" + std::to_string(i + 1) + " " + exchange.name +
                " unparsed=" + std::to_string(exchange.unparsed_bytes) +
                " early=" + std::to_string(exchange.early_bytes);
        if (exchange.status != 0)
            text += " " + std::to_string(exchange.status) + " " + exchange.origin.text();
    }
    return text;
}

}  // namespace martenford
