// Clients that keep their connections open until the proxy is gone, and endpoints that answer by lot: whole,
// not at all, without end, with a rejection, and often a second time and late, over a fleet of real proxies.
// Judges that each client got the answer to its own request, that no request ran twice or after a rejection,
// and that none was cut without a fault near.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "mesh/hop_doubles.h"
#include "mesh/rig/memory_use.h"
#include "mesh/rig/proxy_fleet.h"

namespace martenford::rig {

/// One request of a client, and what came of it.
struct Exchange {
    std::string id;
    bool idempotent = false;
    std::size_t proxy = 0, client = 0;
    Time sent{}, deadline{}, ended{};
    Response response;
};

class AnswerWorld {
  public:
    /// @param processor_quota of each process from start_clients() on, in a ProcessorQuota::kPeriod; 0: none
    AnswerWorld(std::uint64_t seed, std::size_t proxies, Duration processor_quota);
    ~AnswerWorld();
    AnswerWorld(const AnswerWorld&) = delete;
    AnswerWorld& operator=(const AnswerWorld&) = delete;

    /// Returns once every proxy has served a request. Throws std::runtime_error if that takes too long.
    void start();
    /// Opens so many connections to each proxy; on each, one request follows the other after up to `pause`.
    void start_clients(std::size_t connections, Duration pause);
    /// Lets the clients end their requests. Runs until all have, all proxies run and all faults are over.
    void settle();
    /// Planned work and unplanned faults.
    [[nodiscard]] ProxyFleet& fleet() { return fleet_; }

    /// Rules that were violated, one line each; empty if none was.
    [[nodiscard]] std::vector<std::string> violations();
    /// Counts of requests by outcome, for people.
    [[nodiscard]] std::string summary() const;

  private:
    using ScriptedEndpoint = hop_world::Endpoint;
    using Script = ScriptedEndpoint::Script;
    struct Client {
        std::size_t proxy = 0, number = 0;
        std::unique_ptr<Connection> connection;
    };

    void start_endpoint(std::size_t i);
    /// How an arrival is answered, by lot.
    [[nodiscard]] Script draw_script(const std::string& id, int arrival);
    [[nodiscard]] std::string draw_late_response(const std::string& id, int arrival);
    void send(Client& client, bool idempotent, const std::function<void()>& then);
    void keep_busy(Client& client);
    void sample_memory();
    [[nodiscard]] bool is_lost(const Exchange& exchange) const;
    /// The exchange, and those of its client before it, for people.
    [[nodiscard]] std::string story(const Exchange& exchange) const;
    void check_answer(const Exchange& exchange, std::vector<std::string>& found) const;
    void check_runs(const Exchange& exchange, std::vector<std::string>& found) const;
    [[nodiscard]] std::size_t below(std::size_t end) { return random_() % end; }

    std::mt19937_64 random_;
    ProxyFleet fleet_;
    EventLoop& loop_ = fleet_.loop();
    hop_world::Random endpoint_random_;
    const bool faults_enabled_ = false;  // of the endpoints' own kind: scripts decide here
    hop_world::History history_;
    std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints_;  // by proxy
    std::vector<int> heartbeats_;                               // sent by each endpoint
    std::map<std::string, std::set<std::string>> given_;        // seals of the answers to a request
    std::set<std::string> reached_, broken_off_;                // requests; by their endpoint
    std::list<Client> clients_;
    std::vector<Exchange> exchanges_;
    std::size_t open_exchanges_ = 0, late_answers_ = 0, endless_answers_ = 0;
    MemoryPeaks memory_;
    std::uint64_t last_id_ = 0;
    Duration pause_{};
    bool clients_run_ = false;
};

}  // namespace martenford::rig
