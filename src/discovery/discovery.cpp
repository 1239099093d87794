#include "discovery/discovery.h"

#include <algorithm>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>

#include "core/events.h"
#include "core/socket_buffers.h"
#include "policy/mechanics.h"

namespace martenford {

using namespace martenford::decision;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// How long discovery may hold a watch without changes.
constexpr std::chrono::milliseconds kWatchTimeout = 20s;
constexpr Duration kResponseGrace = 4s;       // time to answer beyond that
constexpr Duration kConnectTimeout = 1500ms;  // to connect; what takes longer may never come up
constexpr Duration kRequestJitter = 500ms;    // as all sidecars may suspect their list at once
// For the rest of an answer that has begun: lists arrive in one piece or stall.
constexpr Duration kBodyTimeout = 1500ms;
// Retry delays after an agent failed.
constexpr Duration kInitialRetryDelay = 100ms, kMaxRetryDelay = 2s;
// 100,000 endpoints of 200 bytes, and half as much again.
constexpr std::size_t kMaxListBytes = 32 * 1024 * 1024;

// Read and not parsed: beyond a head, the size and the extensions of a chunk, and trailer fields.
constexpr std::size_t kMaxUnparsedBytes = 64 * 1024;

constexpr std::size_t kLargeListBytes = 64 * 1024;  // deltas are much smaller

/// The time of the Unix epoch on the loop's clock.
Time unix_epoch() {
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return EventLoop::monotonic() - std::chrono::duration_cast<Duration>(wall);
}

}  // namespace

/// A connection to discovery and the request on it. Handlers share its ownership, so it may be dropped at any
/// time.
struct Discovery::Exchange {
    explicit Exchange(EventLoop& loop) : socket(loop.io()), limit(loop) {}
    asio::ip::tcp::socket socket;
    Timer limit;
    boost::beast::flat_buffer buffer{kMaxUnparsedBytes};
    http::request<http::empty_body> call;
    std::optional<http::response_parser<http::string_body>> answer;
};

Discovery::Discovery(EventLoop& loop, EndpointTable& placement, Engine& engine, const Config& config,
                     const Membership::Options& options, Counters& counters)
    : loop_(loop),
      placement_(placement),
      engine_(engine),
      config_(config),
      address_(config.discovery),
      membership_(options),
      staleness_(config.settings.replicas),
      watches_abandoned_(counters.counter("discovery.asked_anew",
                                          "silent watches given up because endpoints were not as listed")),
      retry_timer_(loop),
      removal_timer_(loop),
      abandon_timer_(loop),
      random_(config.seed) {
    const auto add_gauge = [&](const char* name, const char* help, auto read) {
        counters.gauge(name, help, [this, read] { return static_cast<double>(read(membership_)); });
    };
    using Members = const Membership&;
    add_gauge("membership.endpoints", "endpoints known", [](Members m) { return m.size(); });
    counters.gauge("policy.avoided", "endpoints listed that get nothing new",
                   [this] { return static_cast<double>(membership_.size() - membership_.ready()); });
    add_gauge("membership.ready", "endpoints listed as ready", [](Members m) { return m.ready(); });
    add_gauge("membership.doubted", "endpoints whose removal is doubted now",
              [](Members m) { return m.pending_removals(); });
    add_gauge("membership.cautions", "lists that took too much away to be believed at once",
              [](Members m) { return m.stats().delayed_lists; });
    add_gauge("membership.spared", "endpoints that were listed again within the doubt",
              [](Members m) { return m.stats().relisted; });
    add_gauge("membership.regressions", "changes older than what was held",
              [](Members m) { return m.stats().stale_lists; });
    add_gauge("membership.hinted", "endpoints that other sidecars' word keeps away now",
              [](Members m) { return m.hinted(); });
    add_gauge("membership.hints", "times that other sidecars' word took an endpoint away",
              [](Members m) { return m.stats().hinted; });
    add_gauge("membership.twins", "uids whose hash another had",
              [](Members m) { return m.stats().hash_collisions; });
}
Discovery::~Discovery() = default;

void Discovery::start() {
    if (config_.known)
        apply(membership_.apply_list(*config_.known, true, EventLoop::monotonic(), unix_epoch()));
    if (!config_.settings.subscribe) subscribe();
}

void Discovery::subscribe() {
    if (!exchange_) send_request();
}

void Discovery::set_address(const Address& address) {
    if (address == address_) return;
    close_exchange(old_exchange_);
    log_event(
        martenford::Event::DiscoveryAddressChanged,
        "discovery: switching to " + address.address().to_string() + ":" + std::to_string(address.port()));
    address_ = address;
    // A revision means something else to the new agent: it is asked for the full list, and its deltas are
    // rejected until then.
    membership_.reset_revision();
    restart_request();
}

void Discovery::restart_request() {
    close_exchange(exchange_);
    retry_timer_.cancel();
    retry_delay_ = Duration{};
    send_request();
}

void Discovery::send_request() {
    const bool new_connection = !exchange_;
    if (new_connection) exchange_ = std::make_shared<Exchange>(loop_);
    const auto exchange = exchange_;
    std::string target = "/api/targets";
    if (const auto revision = membership_.revision(); revision && !request_full_list_) {
        target +=
            "?since=" + std::to_string(*revision) + "&timeout_ms=" + std::to_string(kWatchTimeout.count());
    }
    exchange->call = {http::verb::get, target, 11};
    exchange->call.set(http::field::host, "discovery");
    exchange->answer.emplace();
    exchange->answer->body_limit(kMaxListBytes);
    // A raw pointer: the exchange's own timer must not keep it alive.
    const auto fail = [this, own = exchange.get()](const std::string& why) {
        if (own == old_exchange_.get()) {
            close_exchange(old_exchange_);
        } else {
            request_failed(why);
        }
    };
    exchange->limit.set(EventLoop::monotonic() + kConnectTimeout, [fail] { fail("connect timed out"); });
    const auto is_current = [this, exchange, fail](const error_code& error, const char* what) {
        if (exchange_ != exchange && old_exchange_ != exchange) return false;
        if (error) fail(std::string(what) + ": " + error.message());
        return !error;
    };
    const auto read = [this, exchange, is_current, fail](const error_code& error, std::size_t) {
        if (!is_current(error, "read")) return;
        const auto answer = exchange->answer->release();
        if (answer.result_int() != 200) return fail("status " + std::to_string(answer.result_int()));
        if (exchange == old_exchange_)
            std::swap(exchange_, old_exchange_);  // it answered after all and becomes the watch again
        close_exchange(old_exchange_);
        if (!answer.keep_alive()) exchange_.reset();
        exchange->buffer.shrink_to_fit();
        response_received(answer.body());
    };
    const auto written = [exchange, is_current, fail, read](const error_code& error, std::size_t) {
        if (!is_current(error, "write")) return;
        // A list may break off silently. Without the shorter timeout its changes would be missed until the
        // watch ends, while a new request gets them at once.
        exchange->socket.async_wait(asio::ip::tcp::socket::wait_read, [exchange, is_current, fail,
                                                                       read](const error_code& e) {
            if (!is_current(e, "wait")) return;
            exchange->limit.set(EventLoop::monotonic() + kBodyTimeout, [fail] { fail("incomplete answer"); });
            http::async_read(exchange->socket, exchange->buffer, *exchange->answer, read);
        });
    };
    const auto write = [exchange, fail, written] {
        exchange->limit.set(EventLoop::monotonic() + kWatchTimeout + kResponseGrace,
                            [fail] { fail("request timed out"); });
        http::async_write(exchange->socket, exchange->call, written);
    };
    if (!new_connection) return write();
    open_with_limited_buffers(exchange->socket, address_);
    exchange->socket.async_connect(address_, [exchange, is_current, write](const error_code& error) {
        if (!is_current(error, "connect")) return;
        error_code ignored;
        exchange->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        write();
    });
}

void Discovery::attempt_ended(EndpointId id, Status status) {
    if (!staleness_.attempt_ended(id, status, EventLoop::monotonic()) || !exchange_) return;
    Random random(random_);
    random_ = random.next();
    abandon_timer_.set(EventLoop::monotonic() + scaled(kRequestJitter, random.unit()), [this] {
        if (!exchange_) return;
        log_event(martenford::Event::DiscoveryResync,
                  "discovery: endpoints are not as listed; requesting the list again");
        watches_abandoned_.add();
        // The old watch is kept until the new request is answered. Discovery may just have written changes to
        // it, which then count as delivered, and the new request may be held for longer than a drain's grace:
        // closing the old watch would lose them.
        close_exchange(old_exchange_);
        old_exchange_ = std::exchange(exchange_, nullptr);
        restart_request();
    });
}

void Discovery::close_exchange(std::shared_ptr<Exchange>& exchange) {
    if (!exchange) return;
    error_code ignored;
    exchange->limit.cancel();
    exchange->socket.close(ignored);
    exchange.reset();
}

void Discovery::request_failed(const std::string& why) {
    log_event(martenford::Event::DiscoveryCallFailed, "discovery: " + why);
    close_exchange(exchange_);
    if (config_.settings.subscribe) return engine_.handle_discovery({DiscoveryUpdate::Kind::Failed, nullptr});
    // The decision module asks again only if lists must be requested. Jitter: all sidecars may have failed at
    // once.
    retry_delay_ = std::clamp(retry_delay_ * 2, kInitialRetryDelay, kMaxRetryDelay);
    Random random(random_);
    random_ = random.next();
    retry_timer_.set(EventLoop::monotonic() + scaled(retry_delay_, 0.5 + random.unit() / 2),
                     [this] { subscribe(); });
}

void Discovery::response_received(const std::string& body) {
    try {
        json::element root;
        if (parser_.parse(body).get(root) != simdjson::SUCCESS) json::throw_field_error("not valid JSON");
        const auto list = parse_targets(json::as<json::object>(root, "answer", "an object"), config_.names);
        request_full_list_ = false;
        auto update = membership_.apply_list(list, false, EventLoop::monotonic(), unix_epoch());
        if (update.discovered.kind == DiscoveryUpdate::Kind::Failed) {
            return request_failed("answer rejected: " + update.log_text);
        }
        received_list_ = true;
        abandon_timer_.cancel();
        staleness_.discovery_answered(!list.targets.empty(), EventLoop::monotonic());
        apply(std::move(update));
        // The parser keeps about ten times the size of the longest text that it has read.
        if (body.size() > kLargeListBytes) parser_ = simdjson::dom::parser();
    } catch (const json::FieldError& error) {
        return request_failed("answer rejected: " + std::string(error.what()));
    }
    retry_delay_ = Duration{};
    send_request();
}

void Discovery::apply(Membership::Update&& update) {
    if (!update.log_text.empty())
        log_event(martenford::Event::DiscoveryListSuspicious, "discovery: " + update.log_text);
    for (const EndpointId id : update.removed) placement_.remove(id);
    for (const auto& [id, address, ready, uid] : update.placed) {
        if (uid) placement_.set_name(id, *uid);
        placement_.set_endpoint(id, address, ready);
    }
    if (update.discovered.kind != DiscoveryUpdate::Kind::Failed)
        engine_.handle_discovery(std::move(update.discovered));
    if (on_drained_ && received_list_) {
        for (const Membership::Drained& each : update.drained)
            on_drained_(each, membership_.revision().value_or(0));
    }
    if (update.need_full_list) request_full_list_ = true;
    if (const auto due = membership_.next_due()) {
        removal_timer_.set(*due, [this] { apply(membership_.apply_due_removals(EventLoop::monotonic())); });
    } else {
        removal_timer_.cancel();
    }
}

}  // namespace martenford
