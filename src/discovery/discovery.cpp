#include "discovery/discovery.h"

#include <algorithm>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>

#include "core/events.h"
#include "policy/mechanics.h"

namespace martenford {

using namespace martenford::decision;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds kWatch = 20s;  // how long a watch may wait for news
constexpr Duration kPatience = 4s;                 // and how much longer discovery may take to say so
constexpr Duration kConnect = 1500ms;   // for its connection: what does not come up so soon never may
constexpr Duration kAskSpread = 500ms;  // all sidecars may suspect a list at once
constexpr Duration kWhole =
    1500ms;  // for the rest of an answer that has begun: lists come in one piece, or stall
constexpr Duration kAgainFirst = 100ms, kAgainMost = 2s;  // an agent that does not answer is asked again
constexpr std::size_t kMostList = 32 * 1024 * 1024;  // 100,000 endpoints at 200 bytes, and half as many again

constexpr std::size_t kLargeList = 64 * 1024;  // what changes bring is much less

/// When the Unix epoch was, on the loop's clock.
Time unix_epoch() {
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return Loop::monotonic() - std::chrono::duration_cast<Duration>(wall);
}

}  // namespace

/// A connection to discovery and the call on it. Handlers hold it, so it may be dropped at any time.
struct Discovery::Exchange {
    explicit Exchange(Loop& loop) : socket(loop.io()), limit(loop) {}
    asio::ip::tcp::socket socket;
    Timer limit;
    boost::beast::flat_buffer buffer;
    http::request<http::empty_body> call;
    std::optional<http::response_parser<http::string_body>> answer;
};

Discovery::Discovery(Loop& loop, Placement& placement, Engine& engine, const Config& config,
                     const Membership::Options& options, Counters& counters)
    : loop_(loop),
      placement_(placement),
      engine_(engine),
      config_(config),
      address_(config.discovery),
      membership_(options),
      staleness_(config.settings.replicas),
      asked_anew_(counters.counter("discovery.asked_anew",
                                   "silent watches given up because endpoints were not as listed")),
      again_(loop),
      doubt_(loop),
      suspect_(loop),
      random_(config.seed) {
    const auto enter = [&](const char* name, const char* help, auto read) {
        counters.gauge(name, help, [this, read] { return static_cast<double>(read(membership_)); });
    };
    using Known = const Membership&;
    enter("membership.endpoints", "endpoints known", [](Known m) { return m.size(); });
    counters.gauge("policy.avoided", "endpoints listed that get nothing new",
                   [this] { return static_cast<double>(membership_.size() - membership_.ready()); });
    enter("membership.ready", "endpoints listed as ready", [](Known m) { return m.ready(); });
    enter("membership.doubted", "endpoints whose removal is doubted now",
          [](Known m) { return m.doubted(); });
    enter("membership.cautions", "lists that took too much away to be believed at once",
          [](Known m) { return m.figures().cautions; });
    enter("membership.spared", "endpoints that were listed again within the doubt",
          [](Known m) { return m.figures().spared; });
    enter("membership.regressions", "changes older than what was held",
          [](Known m) { return m.figures().regressions; });
    enter("membership.hinted", "endpoints that other sidecars' word keeps away now",
          [](Known m) { return m.hinted(); });
    enter("membership.hints", "times that other sidecars' word took an endpoint away",
          [](Known m) { return m.figures().hinted; });
    enter("membership.twins", "uids whose hash another had", [](Known m) { return m.figures().twins; });
}
Discovery::~Discovery() = default;

void Discovery::start() {
    if (config_.known) apply(membership_.take(*config_.known, true, Loop::monotonic(), unix_epoch()));
    if (!config_.settings.subscribe) subscribe();
}

void Discovery::subscribe() {
    if (!exchange_) ask();
}

void Discovery::move(const Address& address) {
    if (address == address_) return;
    drop(silent_);
    tell(martenford::Event::DiscoveryMoves,
         "discovery: moves to " + address.address().to_string() + ":" + std::to_string(address.port()));
    address_ = address;
    // Guards against a revision that means something else to the new agent: it is asked for the whole list,
    // and changes from it are no use before that.
    membership_.forget_revision();
    ask_anew();
}

void Discovery::ask_anew() {
    drop(exchange_);
    again_.cancel();
    wait_ = Duration{};
    ask();
}

void Discovery::ask() {
    const bool fresh = !exchange_;
    if (fresh) exchange_ = std::make_shared<Exchange>(loop_);
    const auto exchange = exchange_;
    std::string target = "/api/targets";
    if (const auto revision = membership_.revision(); revision && !whole_) {
        target += "?since=" + std::to_string(*revision) + "&timeout_ms=" + std::to_string(kWatch.count());
    }
    exchange->call = {http::verb::get, target, 11};
    exchange->call.set(http::field::host, "discovery");
    exchange->answer.emplace();
    exchange->answer->body_limit(kMostList);
    // By address: the exchange's own timer must not keep it.
    const auto fail = [this, own = exchange.get()](const std::string& why) {
        if (own == silent_.get()) {
            drop(silent_);
        } else {
            failed(why);
        }
    };
    exchange->limit.set(Loop::monotonic() + kConnect, [fail] { fail("no connection in time"); });
    const auto current = [this, exchange, fail](const error_code& error, const char* what) {
        if (exchange_ != exchange && silent_ != exchange) return false;
        if (error) fail(std::string(what) + ": " + error.message());
        return !error;
    };
    const auto read = [this, exchange, current, fail](const error_code& error, std::size_t) {
        if (!current(error, "read")) return;
        const auto answer = exchange->answer->release();
        if (answer.result_int() != 200) return fail("status " + std::to_string(answer.result_int()));
        if (exchange == silent_) std::swap(exchange_, silent_);  // it spoke after all, and is the watch again
        drop(silent_);
        if (!answer.keep_alive()) exchange_.reset();
        exchange->buffer.shrink_to_fit();
        arrived(answer.body());
    };
    const auto written = [exchange, current, fail, read](const error_code& error, std::size_t) {
        if (!current(error, "write")) return;
        // Guards against a list that breaks off in silence: what it has to tell would be missed until the
        // watch's end, while a fresh call brings it at once.
        exchange->socket.async_wait(asio::ip::tcp::socket::wait_read, [exchange, current, fail,
                                                                       read](const error_code& e) {
            if (!current(e, "wait")) return;
            exchange->limit.set(Loop::monotonic() + kWhole, [fail] { fail("an answer stopped half way"); });
            http::async_read(exchange->socket, exchange->buffer, *exchange->answer, read);
        });
    };
    const auto write = [exchange, fail, written] {
        exchange->limit.set(Loop::monotonic() + kWatch + kPatience, [fail] { fail("no answer in time"); });
        http::async_write(exchange->socket, exchange->call, written);
    };
    if (!fresh) return write();
    exchange->socket.async_connect(address_, [exchange, current, write](const error_code& error) {
        if (!current(error, "connect")) return;
        error_code ignored;
        exchange->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        write();
    });
}

void Discovery::saw(EndpointId id, Status status) {
    if (!staleness_.ended(id, status, Loop::monotonic()) || !exchange_) return;
    Random random(random_);
    random_ = random.next();
    suspect_.set(Loop::monotonic() + scaled(kAskSpread, random.unit()), [this] {
        if (!exchange_) return;
        tell(martenford::Event::DiscoveryAnew, "discovery: endpoints are not as listed; asked anew");
        asked_anew_.add();
        // The old watch is heard on until the fresh call is answered. Guards against losing what discovery
        // has just written to it: that counts as told, and the fresh call may wait its turn for longer than
        // a drain's grace.
        drop(silent_);
        silent_ = std::exchange(exchange_, nullptr);
        ask_anew();
    });
}

void Discovery::drop(std::shared_ptr<Exchange>& exchange) {
    if (!exchange) return;
    error_code ignored;
    exchange->limit.cancel();
    exchange->socket.close(ignored);
    exchange.reset();
}

void Discovery::failed(const std::string& why) {
    tell(martenford::Event::DiscoveryTrouble, "discovery: " + why);
    drop(exchange_);
    if (config_.settings.subscribe) return engine_.tell({DiscoveryUpdate::Kind::Failed, nullptr});
    // The module asks only where lists must be asked for. Jitter: all sidecars may have failed at once.
    wait_ = std::clamp(wait_ * 2, kAgainFirst, kAgainMost);
    Random random(random_);
    random_ = random.next();
    again_.set(Loop::monotonic() + scaled(wait_, 0.5 + random.unit() / 2), [this] { subscribe(); });
}

void Discovery::arrived(const std::string& body) {
    try {
        json::element root;
        if (parser_.parse(body).get(root) != simdjson::SUCCESS) json::bad("not valid JSON");
        const auto list = parse_targets(json::as<json::object>(root, "answer", "an object"), config_.names);
        whole_ = false;
        auto update = membership_.take(list, false, Loop::monotonic(), unix_epoch());
        if (update.news.kind == DiscoveryUpdate::Kind::Failed) {
            return failed("an answer was skipped: " + update.remark);
        }
        heard_ = true;
        suspect_.cancel();
        staleness_.told(!list.targets.empty(), Loop::monotonic());
        apply(std::move(update));
        // The parser keeps some ten times the longest text that it has read.
        if (body.size() > kLargeList) parser_ = simdjson::dom::parser();
    } catch (const json::FieldError& error) {
        return failed("an answer was skipped: " + std::string(error.what()));
    }
    wait_ = Duration{};
    ask();
}

void Discovery::apply(Membership::Update&& update) {
    if (!update.remark.empty()) tell(martenford::Event::DiscoveryRemark, "discovery: " + update.remark);
    for (const EndpointId id : update.removed) placement_.remove(id);
    for (const auto& [id, address, ready, uid] : update.placed) {
        if (uid) placement_.name(id, *uid);
        placement_.place(id, address, ready);
    }
    if (update.news.kind != DiscoveryUpdate::Kind::Failed) engine_.tell(std::move(update.news));
    if (on_drained_ && heard_) {
        for (const Membership::Drained& each : update.drained)
            on_drained_(each, membership_.revision().value_or(0));
    }
    if (update.ask_whole) whole_ = true;
    if (const auto due = membership_.next_due()) {
        doubt_.set(*due, [this] { apply(membership_.believe(Loop::monotonic())); });
    } else {
        doubt_.cancel();
    }
}

}  // namespace martenford
