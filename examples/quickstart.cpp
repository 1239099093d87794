// A minimal host: passes events to the balancer, performs its actions and fires its timers. Endpoint 1 fails,
// and the retries succeed at endpoint 2.
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "martenford/decision/balancer.h"

using namespace martenford::decision;
using namespace std::chrono_literals;

namespace {

class Host {
  public:
    explicit Host(const Settings& settings) : balancer_(settings, /*seed=*/42) {
        balancer_.start(now_, actions_);
        perform();
    }
    void give(Event event) {
        balancer_.handle(now_, event, actions_);
        perform();
    }
    /// A real host sleeps until the next timer or response. This one jumps ahead in time.
    void run() {
        while (!due_.empty()) {
            auto next = due_.extract(due_.begin());
            now_ = std::max(now_, next.key());
            give(std::move(next.mapped()));
        }
    }
    Time now() const { return now_; }
    int served() const { return served_; }

  private:
    void perform() {
        const std::vector<Action> actions = std::move(actions_);
        actions_.clear();
        for (const Action& action : actions) {
            if (const auto* send = std::get_if<Send>(&action)) {
                // Endpoint 1 returns errors and the others succeed, each after 20 ms.
                const AttemptNumber attempt = attempts_[send->id]++;
                const bool serves = send->endpoint != EndpointId{1};
                served_ += serves ? 1 : 0;
                std::cout << "send request " << send->id << " attempt " << attempt << " to endpoint "
                          << static_cast<unsigned>(send->endpoint) << (serves ? ": ok\n" : ": error\n");
                due_.emplace(now_ + 20ms, Outcome{send->id,
                                                  attempt,
                                                  send->endpoint,
                                                  serves ? Status::Ok : Status::Error,
                                                  20ms,
                                                  serves,
                                                  {}});
            } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
                due_.emplace(timer->at, TimerFired{timer->token});
            } else if (const auto* refuse = std::get_if<Refuse>(&action)) {
                std::cout << "tell the client that request " << refuse->id
                          << " was refused and may be retried\n";
            } else if (const auto* fail = std::get_if<Fail>(&action)) {
                std::cout << "tell the client that request " << fail->id << " failed\n";
            }  // Cancel, Probe and Subscribe occur only if the settings allow them
        }
    }

    Time now_{};
    std::vector<Action> actions_;
    Balancer balancer_;
    std::multimap<Time, Event> due_;
    std::map<RequestId, AttemptNumber> attempts_;
    int served_ = 0;
};

}  // namespace

int main() {
    Settings settings;
    RequestClass lookup;
    lookup.latency_target = 200ms;
    lookup.deadline = 1s;
    lookup.idempotency = Idempotency::Idempotent;
    settings.classes.push_back(lookup);
    settings.limits.max_attempts = 3;

    Host host(settings);
    auto endpoints = std::make_shared<EndpointList>(2);
    (*endpoints)[0].id = EndpointId{1};
    (*endpoints)[1].id = EndpointId{2};
    host.give(DiscoveryUpdate{DiscoveryUpdate::Kind::Full, endpoints});

    constexpr int kRequests = 5;
    for (int i = 0; i < kRequests; ++i) {
        Request request;
        request.id = std::to_string(i + 1);
        request.deadline = host.now() + 1s;
        host.give(request);
        host.run();
    }
    return host.served() == kRequests ? 0 : 1;
}
