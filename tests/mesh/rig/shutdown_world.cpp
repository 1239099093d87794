#include "mesh/rig/shutdown_world.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "mesh_config/mesh_config.h"

namespace martenford::rig {

namespace {

constexpr Duration kFirstDownloadTimeout = 2s;
/// A connection may close so soon after a request was sent that did not reach an endpoint: `loss_slack_ms`.
constexpr Duration kLossSlack = 200ms;
constexpr char kService[] = "vault";

std::string config_text(unsigned version) {
    return R"({"version":")" + mesh_config::text_of(version) + R"(","base_version":")" +
           mesh_config::text_of(version - 1) +
           R"(","limits":{"max_header_bytes":16384,)"
           R"("max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
           R"("listeners":[{"host":"h.example","rule_set":[{"name":"d","route_kind":"download",)"
           R"("target_latency_ms":2000,"priority":1,"matcher":{"path_prefix":"/d/"},)"
           R"("route_action":{"service":"vault","timeout_ms":20000,"max_attempts":2}}]}],)"
           R"("clusters":[{"name":"vault"}]})";
}

}  // namespace

ShutdownWorld::ShutdownWorld(std::uint64_t seed, std::size_t proxies)
    : random_(seed * 7919),
      fleet_({proxies, kService, config_text,
              [this](std::size_t i) {
                  return Heartbeat{endpoints_[i]->id(), endpoints_[i]->heartbeat_body(kService, "ready")};
              }}),
      endpoints_(proxies) {
    set_answers(100'000, 0);
}

ShutdownWorld::~ShutdownWorld() {
    connections_.clear();
    endpoints_.clear();  // before the loop that they use
}

void ShutdownWorld::start_endpoint(std::size_t i) {
    endpoints_[i] = std::make_unique<Endpoint>(
        loop_, "i-" + std::to_string(i), fleet_.address(i, Port::App),
        [this, i](const Endpoint::ReceivedRequest& received) {
            reached_.insert(received.id);
            Endpoint::Handling handling;
            const auto lost_until = loses_answers_until_.find(i);
            handling.lost = lost_until != loses_answers_until_.end() && loop_.now() < lost_until->second;
            handling.body.assign(answer_size_, 'd');
            handling.piece = answer_piece_;
            return handling;
        },
        counters_);
}

void ShutdownWorld::start() {
    for (std::size_t i = 0; i < fleet_.size(); ++i) start_endpoint(i);
    fleet_.start();
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
        fleet_.wait_for("service at " + ProxyFleet::name(i), [&] {
            if (open_downloads_ == 0) download(i, kFirstDownloadTimeout);
            return !downloads_.empty() && downloads_.back().proxy == i &&
                   downloads_.back().response.status == 200;
        });
    }
    fleet_.wait_for("downloads that end", [this] { return open_downloads_ == 0; });
    downloads_.clear();
}

void ShutdownWorld::settle() {
    fleet_.wait_for("downloads and faults that end",
                    [this] { return open_downloads_ == 0 && fleet_.is_calm(); });
}

// ---- clients

void ShutdownWorld::send(std::size_t proxy, Duration time_remaining, const std::function<void()>& then) {
    const std::string id = "d-" + std::to_string(++last_id_);
    Download started;
    started.id = id;
    started.proxy = proxy;
    started.sent = loop_.now();
    started.deadline = started.sent + time_remaining;
    ++open_downloads_;
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(time_remaining).count();
    const auto connection =
        connections_.emplace(connections_.end(), loop_, fleet_.address(proxy, Port::Outbound));
    connection->send(
        request_text("GET", "/d/x", "h.example",
                     "Attempt-Id: " + id + "\r\nTime-Remaining: " + std::to_string(milliseconds) + "\r\n"),
        time_remaining, [this, connection, started, then](Response&& response) mutable {
            connections_.erase(connection);
            started.ended = loop_.now();
            started.response = std::move(response);
            downloads_.push_back(std::move(started));
            --open_downloads_;
            then();
        });
}

void ShutdownWorld::download(std::size_t proxy, Duration time_remaining) {
    send(proxy, time_remaining, [] {});
}

void ShutdownWorld::start_clients(std::size_t connections, Duration time_remaining) {
    clients_run_ = true;
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
        for (std::size_t k = 0; k < connections; ++k) keep_busy(i, time_remaining);
    }
}

void ShutdownWorld::keep_busy(std::size_t proxy, Duration time_remaining) {
    if (!clients_run_) return;
    send(proxy, time_remaining, [this, proxy, time_remaining] {
        // Some milliseconds later: not from within the connection that has just ended.
        loop_.add(loop_.now() + 1ms * static_cast<int>(5 + below(60)),
                  [this, proxy, time_remaining] { keep_busy(proxy, time_remaining); });
    });
}

void ShutdownWorld::set_answers(std::size_t size, std::size_t piece) {
    answer_size_ = size;
    answer_piece_ = piece;
}

void ShutdownWorld::lose_answers(std::size_t proxy, Duration duration) {
    loses_answers_until_[proxy] = loop_.now() + duration;
    fleet_.fault(duration, [] {});
}

// ---- what must hold

bool ShutdownWorld::is_lost(const Download& download) const {
    if (download.response.status != 0 || download.ended >= download.deadline) return false;
    if (!download.response.was_cut()) return false;
    const bool passed_on = reached_.contains(download.id);
    if (!passed_on && download.ended - download.sent <= kLossSlack) return false;
    if (fleet_.fault_between(download.sent - kContactTime, download.ended)) return false;
    return fleet_.stop_between(download.proxy, download.sent, download.ended);
}

std::vector<std::string> ShutdownWorld::violations() {
    std::vector<std::string> found;
    const auto milliseconds = [](Duration time) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms";
    };
    for (const Download& download : downloads_) {
        if (is_lost(download))
            found.push_back("LOST: " + download.id + " at " + ProxyFleet::name(download.proxy) + " was cut " +
                            milliseconds(download.ended - download.sent) + " after it was sent");
        if (download.response.status == 200 && download.response.body != std::string(answer_size_, 'd'))
            found.push_back("MIXED: " + download.id + " got other bytes than the endpoint's");
    }
    for (std::string& violation : fleet_.process_violations()) found.push_back(std::move(violation));
    return found;
}

std::string ShutdownWorld::summary() const {
    std::map<std::string, std::size_t> outcomes;
    for (const Download& download : downloads_) {
        using enum Response::Failure;
        const Response& response = download.response;
        const std::string failed = response.failure == NotConnected ? "not connected"
                                   : response.failure == TimedOut   ? "timed out"
                                                                    : "cut";
        ++outcomes[response.status != 0 ? std::to_string(response.status) : failed];
    }
    std::ostringstream text;
    text << downloads_.size() << " downloads, " << fleet_.summary() << ";";
    for (const auto& [outcome, count] : outcomes) text << " " << outcome << ": " << count;
    return text.str();
}

}  // namespace martenford::rig
