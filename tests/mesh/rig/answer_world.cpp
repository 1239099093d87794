#include "mesh/rig/answer_world.h"

#include <sstream>
#include <utility>

#include "mesh_config/mesh_config.h"

namespace martenford::rig {

namespace {

constexpr char kService[] = "vault";
/// Below the grace period: an answer that was begun before SIGTERM can't be taken back.
constexpr Duration kTimeRemaining = 1500ms;
/// A connection may close so soon after a request was sent that did not reach an endpoint: `loss_slack_ms`.
constexpr Duration kLossSlack = 200ms;
constexpr Duration kReconnectPause = 50ms;
/// Of what a client did before a violation.
constexpr Duration kStoryLength = 5s;
/// Percent of the arrivals, in the order in which the lot is read.
constexpr std::size_t kRejections = 15, kErrors = 5, kHalfResponses = 2, kSilences = 1, kEndlessResponses = 2;
constexpr std::size_t kLateResponses = 40;
constexpr std::size_t kPieceBytes = 64 * 1024;
constexpr Duration kMemorySampleInterval = 500ms;
/// `memory_mb` of the platform's machines. The sanitizer's own memory is not the program's.
#ifdef __SANITIZE_ADDRESS__
constexpr std::size_t kMemoryLimit = 2 * 260 * 1024 * 1024;
#else
constexpr std::size_t kMemoryLimit = 260 * 1024 * 1024;
#endif

/// Each version differs in a limit, so that proxies take a new one in.
std::string config_text(unsigned version) {
    const std::string timeout = std::to_string(2000 + version % 7);
    const auto rule = [&](const std::string& kind, const std::string& prefix) {
        return R"({"name":")" + kind + R"(","route_kind":")" + kind +
               R"(","target_latency_ms":1000,"priority":1,"matcher":{"path_prefix":")" + prefix +
               R"("},"route_action":{"service":"vault","timeout_ms":)" + timeout + R"(,"max_attempts":3}})";
    };
    return R"({"version":")" + mesh_config::text_of(version) + R"(","base_version":")" +
           mesh_config::text_of(version - 1) +
           R"(","limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,)"
           R"("idle_timeout_ms":15000},"listeners":[{"host":"h.example","rule_set":[)" +
           rule("idempotent", "/r/") + "," + rule("non_idempotent", "/o/") +
           R"(]}],"clusters":[{"name":"vault"}]})";
}

std::string own_seal(const std::string& id, int arrival) {
    return "own-" + id + "-" + std::to_string(arrival);
}

std::string success_text(const std::string& id, const std::string& seal, const std::string& body) {
    return hop_world::response_text("200 OK", id, "Server-Seal: " + seal + "\r\n", body);
}

std::string rejection_text(const std::string& id) {
    return hop_world::response_text("503 Full", id, "Not-Executed: 1\r\n", "");
}

std::string error_text(const std::string& id, const std::string& seal) {
    return hop_world::response_text("500 Error", id, "Server-Seal: " + seal + "\r\n", "no");
}

/// A part of an answer, and what follows it without end.
struct EndlessResponse {
    std::string beginning, piece;
};
EndlessResponse endless_response(const std::string& id, std::size_t form) {
    const auto repeated = [](const std::string& text) {
        std::string piece;
        while (piece.size() < kPieceBytes) piece += text;
        return piece;
    };
    const std::string chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";
    const std::string head = "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: endless\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string passed_on = chunked + repeated(chunk) + repeated(chunk);
    const std::vector<EndlessResponse> forms = {
        {"", repeated("\xff")},
        {"", repeated("HTTP/1.1 100 Continue\r\n\r\n")},
        {head, repeated("X: y\r\n")},
        {chunked, repeated("0")},
        {chunked + "1;", repeated("e")},
        {chunked + "0\r\nT: ", repeated("t")},
        {passed_on + "1;", repeated("e")},
        {passed_on + "0\r\n", repeated("T: t\r\n")},
        {"HTTP/1.1 200 OK\r\nAttempt-Id: another\r\nTransfer-Encoding: chunked\r\n\r\n", repeated(chunk)}};
    return forms[form % forms.size()];
}

/// Whether the status promises that the request did not run.
bool promises_not_run(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

AnswerWorld::AnswerWorld(std::uint64_t seed, std::size_t proxies, Duration processor_quota)
    : random_(seed * 7919),
      fleet_({proxies, kService, config_text,
              [this](std::size_t i) {
                  const std::string address = fleet_.address(i, Port::App);
                  return Heartbeat{"i-" + std::to_string(i),
                                   heartbeat_text(address, kService, "ready", ++heartbeats_[i])};
              },
              processor_quota}),
      endpoint_random_(seed),
      endpoints_(proxies),
      heartbeats_(proxies) {}

AnswerWorld::~AnswerWorld() {
    clients_.clear();
    endpoints_.clear();  // before the loop that they use
}

// ---- endpoints

void AnswerWorld::start_endpoint(std::size_t i) {
    endpoints_[i] = std::make_unique<ScriptedEndpoint>(loop_, endpoint_random_, history_, faults_enabled_,
                                                       fleet_.address(i, Port::App));
    endpoints_[i]->script = [this](const std::string& id, int arrival) { return draw_script(id, arrival); };
}

AnswerWorld::Script AnswerWorld::draw_script(const std::string& id, int arrival) {
    Script script;
    if (id.empty()) {  // a health check
        script.response = hop_world::response_text("200 OK", "", "Instance-Id: i\r\n", "");
        script.executes = false;
        return script;
    }
    reached_.insert(id);
    script.delay = 1ms * static_cast<int>(below(40));
    const std::string seal = own_seal(id, arrival);
    std::size_t lot = below(100);
    const auto is = [&lot](std::size_t percent) {
        const bool drawn = lot < percent;
        lot -= drawn ? 0 : percent;
        return drawn;
    };
    if (is(kRejections)) {
        script.executes = false;
        script.response = rejection_text(id);
    } else if (is(kErrors)) {
        script.response = error_text(id, seal);
    } else if (is(kHalfResponses)) {
        broken_off_.insert(id);
        script.response = success_text(id, seal, hop_world::body_of(id));
        script.response.resize(script.response.size() / 2);
        script.closes = true;
    } else if (is(kSilences)) {
        broken_off_.insert(id);
        script.closes = true;
        script.delay = kTimeRemaining;
    } else if (is(kEndlessResponses)) {
        broken_off_.insert(id);
        ++endless_answers_;
        auto [beginning, piece] = endless_response(id, random_());
        script.response = std::move(beginning);
        script.endless_piece = std::move(piece);
        return script;
    } else {
        given_[id].insert(seal);
        script.response = success_text(id, seal, hop_world::body_of(id));
    }
    if (script.closes || below(100) >= kLateResponses) return script;
    ++late_answers_;
    script.late_response = draw_late_response(id, arrival);
    script.late_after = 1ms * static_cast<int>(5 + below(300));
    return script;
}

std::string AnswerWorld::draw_late_response(const std::string& id, int arrival) {
    const std::string seal = "late-" + id + "-" + std::to_string(arrival);
    switch (below(4)) {
        case 0:
            return rejection_text(id);
        case 1:
            return error_text(id, seal);
        default:
            return success_text(id, seal, "late");
    }
}

// ---- clients

void AnswerWorld::start() {
    limit_sanitizer_memory();
    for (std::size_t i = 0; i < fleet_.size(); ++i) start_endpoint(i);
    fleet_.start();
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
        Client client{i, 0, std::make_unique<Connection>(loop_, fleet_.address(i, Port::Outbound))};
        fleet_.wait_for("service at " + ProxyFleet::name(i), [&] {
            if (open_exchanges_ == 0) send(client, true, [] {});
            return !exchanges_.empty() && exchanges_.back().proxy == i &&
                   exchanges_.back().response.status == 200;
        });
        fleet_.wait_for("requests that end", [this] { return open_exchanges_ == 0; });
    }
}

void AnswerWorld::start_clients(std::size_t connections, Duration pause) {
    fleet_.limit_processors();
    clients_run_ = true;
    pause_ = pause;
    sample_memory();
    for (std::size_t i = 0; i < fleet_.size(); ++i) {
        for (std::size_t k = 0; k < connections; ++k) {
            clients_.push_back({i, clients_.size() + 1,
                                std::make_unique<Connection>(loop_, fleet_.address(i, Port::Outbound))});
            keep_busy(clients_.back());
        }
    }
}

void AnswerWorld::sample_memory() {
    for (const pid_t process : fleet_.proxy_pids()) memory_.sample(process);
    if (clients_run_) loop_.add(loop_.now() + kMemorySampleInterval, [this] { sample_memory(); });
}

void AnswerWorld::settle() {
    clients_run_ = false;
    fleet_.wait_for("requests and faults that end",
                    [this] { return open_exchanges_ == 0 && fleet_.is_calm(); });
}

void AnswerWorld::send(Client& client, bool idempotent, const std::function<void()>& then) {
    Exchange started;
    started.id = (idempotent ? "r" : "o") + std::to_string(++last_id_);
    started.idempotent = idempotent;
    started.proxy = client.proxy;
    started.client = client.number;
    started.sent = loop_.now();
    started.deadline = started.sent + kTimeRemaining;
    ++open_exchanges_;
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(kTimeRemaining).count();
    const std::string text = request_text(
        "GET", idempotent ? "/r/x" : "/o/x", "h.example",
        "Attempt-Id: " + started.id + "\r\nTime-Remaining: " + std::to_string(milliseconds) + "\r\n", "",
        true);
    client.connection->send(text, kTimeRemaining, [this, started, then](Response&& response) mutable {
        started.ended = loop_.now();
        started.response = std::move(response);
        exchanges_.push_back(std::move(started));
        --open_exchanges_;
        then();
    });
}

void AnswerWorld::keep_busy(Client& client) {
    if (!clients_run_) return;
    send(client, below(2) == 0, [this, &client] {
        // Later, and not from within the connection that may have just ended.
        const bool connected = exchanges_.back().response.failure != Response::Failure::NotConnected;
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(pause_).count();
        const Duration wait = 1ms * static_cast<int>(1 + below(static_cast<std::size_t>(milliseconds)));
        loop_.add(loop_.now() + (connected ? wait : std::max(wait, kReconnectPause)),
                  [this, &client] { keep_busy(client); });
    });
}

// ---- what must hold

bool AnswerWorld::is_lost(const Exchange& exchange) const {
    if (exchange.response.status != 0 || exchange.ended >= exchange.deadline) return false;
    if (!exchange.response.was_cut()) return false;
    if (broken_off_.contains(exchange.id)) return false;
    // Without an answer begun, a reset means that the process had not read the request.
    const bool unread = exchange.response.failure == Response::Failure::ConnectionReset;
    const Duration delay = fleet_.observer_delay(exchange.sent, exchange.ended);
    const bool soon = exchange.ended - exchange.sent <= kLossSlack + delay;
    if (!reached_.contains(exchange.id) && (unread || soon)) return false;
    return !fleet_.fault_between(exchange.sent - kContactTime, exchange.ended);
}

void AnswerWorld::check_answer(const Exchange& exchange, std::vector<std::string>& found) const {
    const Response& response = exchange.response;
    if (response.status == 0) return;
    const std::string seal = response.field("Server-Seal"), answered = response.field("Attempt-Id");
    if (!answered.empty() && answered != exchange.id)
        found.push_back("MIXED: " + exchange.id + " got the answer to " + answered);
    if (seal.starts_with("late-")) found.push_back("MIXED: " + exchange.id + " got the late answer " + seal);
    if (response.status / 100 != 2) return;
    const auto given = given_.find(exchange.id);
    if (given == given_.end() || !given->second.contains(seal))
        found.push_back("MIXED: " + exchange.id + " got a success with the seal '" + seal + "'");
    if (response.body != hop_world::body_of(exchange.id))
        found.push_back("MIXED: " + exchange.id + " got another body");
}

void AnswerWorld::check_runs(const Exchange& exchange, std::vector<std::string>& found) const {
    if (exchange.idempotent) return;
    const auto executions = history_.executions.find(exchange.id);
    const int runs = executions == history_.executions.end() ? 0 : executions->second;
    if (runs > 1) found.push_back("TWICE: " + exchange.id + " ran " + std::to_string(runs) + " times");
    if (runs > 0 && promises_not_run(exchange.response.status)) {
        found.push_back("REFUSED: " + exchange.id + " ran, and its client got " +
                        std::to_string(exchange.response.status));
    }
}

std::string AnswerWorld::story(const Exchange& exchange) const {
    std::ostringstream text;
    const auto milliseconds = [](Duration time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    };
    for (const Exchange& each : exchanges_) {
        if (each.client != exchange.client || each.sent > exchange.sent ||
            exchange.sent - each.sent > kStoryLength)
            continue;
        text << "    " << each.id << " at " << ProxyFleet::name(each.proxy) << ", sent "
             << milliseconds(exchange.sent - each.sent) << " ms before, ended after "
             << milliseconds(each.ended - each.sent) << " ms: status " << each.response.status << ", failure "
             << static_cast<int>(each.response.failure) << ", Attempt-Id '"
             << each.response.field("Attempt-Id") << "'\n";
    }
    return text.str();
}

std::vector<std::string> AnswerWorld::violations() {
    std::vector<std::string> found;
    for (const Exchange& exchange : exchanges_) {
        const std::size_t before = found.size();
        check_answer(exchange, found);
        check_runs(exchange, found);
        if (found.size() > before) found.back() += "\n" + story(exchange);
        if (is_lost(exchange)) {
            const auto after =
                std::chrono::duration_cast<std::chrono::milliseconds>(exchange.ended - exchange.sent);
            found.push_back("LOST: " + exchange.id + " at " + ProxyFleet::name(exchange.proxy) + " was cut " +
                            std::to_string(after.count()) + " ms after it was sent");
        }
    }
    if (memory_.highest() > kMemoryLimit)
        found.push_back("FAULT: a proxy took " + std::to_string(memory_.highest()) + " bytes");
    std::set<std::string> sent;
    for (const Exchange& exchange : exchanges_) sent.insert(exchange.id);
    for (const auto& [id, runs] : history_.executions)
        if (!sent.contains(id)) found.push_back("UNASKED: " + id);
    for (std::string& violation : fleet_.process_violations()) found.push_back(std::move(violation));
    return found;
}

std::string AnswerWorld::summary() const {
    std::map<std::string, std::size_t> outcomes;
    for (const Exchange& exchange : exchanges_) {
        using enum Response::Failure;
        const Response& response = exchange.response;
        const std::string failed = response.failure == NotConnected ? "not connected"
                                   : response.failure == TimedOut   ? "timed out"
                                                                    : "cut";
        ++outcomes[response.status != 0 ? std::to_string(response.status) : failed];
    }
    std::ostringstream text;
    text << exchanges_.size() << " requests, " << late_answers_ << " late answers, " << endless_answers_
         << " endless ones, " << memory_.highest() / 1'000'000 << " MB, " << fleet_.summary() << ";";
    for (const auto& [outcome, count] : outcomes) text << " " << outcome << ": " << count;
    return text.str();
}

}  // namespace martenford::rig
