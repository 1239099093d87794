// Heartbeats, operators' calls and client requests of a play.
#include <algorithm>

#include "mesh/rig/play_run.h"

namespace martenford::rig {

namespace {

constexpr Duration kHeartbeatInterval = 500ms;
constexpr std::chrono::milliseconds kRequestDeadline = 3s;
/// A client waits this much longer than the deadline that it sends.
constexpr Duration kDeadlineSlack = 500ms;
constexpr int kMaxRedirects = 2;

}  // namespace

std::string path_of(const std::string& id, const Request& request) {
    if (!request.marker.empty()) return "/" + request.marker + "/" + id;
    return (request.idempotent ? "/web/" : "/order/") + id;
}
std::string body_of(const std::string& id, const Request& request) {
    return request.idempotent ? "" : "order " + id;
}

std::string Play::random_controller() {
    return at(controllers_[random_below(controllers_.size())].ip, Port::Control);
}

void Play::call_controller(const std::string& method, const std::string& path, const std::string& body,
                           Duration timeout, Done done) {
    call(random_controller(), method, path, body, timeout, std::move(done), kMaxRedirects);
}

void Play::call(const std::string& to, const std::string& method, const std::string& path,
                const std::string& body, Duration timeout, Done done, int redirects) {
    const std::uint64_t key = ++last_call_;
    Connection& connection = *(calls_[key] = std::make_unique<Connection>(loop_, to));
    const std::string fields = body.empty() ? "" : "Content-Type: application/json\r\n";
    connection.send(request_text(method, path, "core", fields, body), timeout,
                    [this, key, method, path, body, timeout, done, redirects](Response&& response) {
                        loop_.add(loop_.now(), [this, key] { calls_.erase(key); });
                        const std::string location = response.field("Location");
                        if (response.status != 307 || redirects <= 0 || !location.starts_with("http://"))
                            return done(std::move(response));
                        const auto end = location.find('/', 7);
                        call(location.substr(7, end - 7), method, path, body, timeout, done, redirects - 1);
                    });
}

// ---- heartbeats

void Play::heartbeat_periodically(std::size_t i) {
    if (proxies_.empty()) return;
    loop_.add(loop_.now() + kHeartbeatInterval, [this, i] { heartbeat_periodically(i); });
    if (proxies_[i].endpoint_running) send_heartbeat(i, [](bool) {});
}

void Play::send_heartbeat(std::size_t i, std::function<void(bool accepted)> done) {
    Proxy& proxy = proxies_[i];
    call(
        at(proxy_ip(i), Port::Control), "POST", "/v1/instances/" + proxy.endpoint->id() + "/heartbeat",
        proxy.endpoint->heartbeat_body(service_of(i), proxy.draining ? "draining" : "ready"), kCallTimeout,
        [done](Response&& response) { done(response.status / 100 == 2); }, 0);
}

// ---- client requests

void Play::send_request(std::size_t client_index) {
    if (stopping_) return;
    Client& client = clients_[client_index];
    const std::string id = std::to_string(++last_request_);
    const std::size_t drawn = random_below(5);
    Request& request = history().requests[id];
    if (drawn == 0) request.marker = random_marker();
    request.idempotent = drawn < 3;
    request.sent = loop_.now();
    request.proxy_incarnation =
        proxy_name(client.proxy) + " incarnation " + std::to_string(proxies_[client.proxy].incarnation);
    if (!client.connection || !client.keeps_alive)
        client.connection = std::make_unique<Connection>(loop_, at(proxy_ip(client.proxy), Port::Outbound));
    client.busy = true;
    const std::string fields =
        "Attempt-Id: " + id + "\r\nTime-Remaining: " + std::to_string(kRequestDeadline.count()) + "\r\n";
    client.connection->send(request_text(request.idempotent ? "GET" : "POST", path_of(id, request), kHost,
                                         fields, body_of(id, request), client.keeps_alive),
                            kRequestDeadline + kDeadlineSlack, [this, client_index, id](Response&& response) {
                                on_response(client_index, id, std::move(response));
                            });
}

void Play::on_response(std::size_t client_index, const std::string& id, Response&& response) {
    Client& client = clients_[client_index];
    client.busy = false;
    Request& request = history().requests[id];
    request.status = response.status;
    request.ended = loop_.now();
    request.answered_id = response.field("Attempt-Id");
    request.seal = response.field("Server-Seal");
    request.body = std::move(response.body);
    const bool served = response.status == 200;
    if (request.marker.empty()) {
        int& in_a_row = served_in_a_row_[{client.proxy, request.idempotent}];
        in_a_row = served ? in_a_row + 1 : 0;
    } else if (served) {
        markers_seen_.insert({client.proxy, request.marker});
    }
    const bool answered = served || response.status == 404;
    const Duration pause = answered ? 1ms * static_cast<int>(10 + random_below(40)) : 150ms;
    loop_.add(loop_.now() + pause, [this, client_index] { send_request(client_index); });
}

/// Returns the marker of one of the last six changes, whether or not it was accepted; or the awaited one.
std::string Play::random_marker() {
    if (!awaited_marker_.empty()) return awaited_marker_;
    const auto& changes = history().changes;
    return changes[changes.size() - 1 - random_below(std::min<std::size_t>(changes.size(), 6))].marker;
}

bool Play::all_served() const {
    for (std::size_t i = 0; i < kProxies; ++i) {
        for (const bool idempotent : {false, true}) {
            const auto in_a_row = served_in_a_row_.find({i, idempotent});
            if (in_a_row == served_in_a_row_.end() || in_a_row->second < 3) return false;
        }
    }
    return true;
}

}  // namespace martenford::rig
