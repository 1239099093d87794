// Two balancers get the same endpoint changes, one as deltas and one as full lists, and must make the same
// decisions. Guards the incrementally updated state that saves the module from looking at every endpoint.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "martenford/decision/balancer.h"
#include "policy/mechanics.h"
#include "standins/usual_rules.h"

namespace martenford::decision {
namespace {

using namespace std::chrono_literals;

Settings settings(DedupScope dedup_scope) {
    Settings s;
    const auto add = [&](const char* name, Idempotency idempotency) {
        RequestClass c;
        c.name = name;
        c.latency_target = 1s;
        c.deadline = 2s;
        c.idempotency = idempotency;
        c.dedup_scope = dedup_scope;
        c.dedup_window = 6s;
        s.classes.push_back(c);
    };
    add("look", Idempotency::Idempotent);
    add("post", Idempotency::Deduplicated);
    add("debit", Idempotency::NonIdempotent);
    s.zones = 3;
    s.replicas = 7;
    s.position = 3;
    s.limits.max_attempts = 3;
    s.limits.may_cancel = true;
    s.limits.connection_idle = 30s;
    s.rules = martenford::standins::default_rules();
    s.tick = 1ms;
    return s;
}

std::string to_text(const Action& action) {
    struct Visitor {
        std::string operator()(const Send& a) const {
            return "send " + a.id + " " + std::to_string(static_cast<std::uint32_t>(a.endpoint)) + " " +
                   std::to_string(a.timeout.count());
        }
        std::string operator()(const Refuse& a) const { return "refuse " + a.id; }
        std::string operator()(const Fail& a) const { return "fail " + a.id; }
        std::string operator()(const Cancel& a) const {
            return "cancel " + a.id + " " + std::to_string(a.attempt);
        }
        std::string operator()(const SetTimer& a) const {
            return "timer " + std::to_string(a.token) + " " + std::to_string(a.at.time_since_epoch().count());
        }
        std::string operator()(const Probe&) const { return "probe"; }
        std::string operator()(const Subscribe&) const { return "subscribe"; }
        std::string operator()(const CloseIdleConnections& a) const {
            return "shut " + std::to_string(static_cast<std::uint32_t>(a.endpoint));
        }
    };
    return std::visit(Visitor{}, action);
}

/// A simulated fleet whose random events go to two balancers at once.
class BalancerPair {
  public:
    BalancerPair(std::uint64_t seed, DedupScope dedup_scope, int size = 40, std::uint32_t cells = 8)
        : random(seed),
          cells(cells),
          by_deltas(settings(dedup_scope), seed),
          by_lists(settings(dedup_scope), seed) {
        std::vector<Action> ignored;
        by_deltas.start(now, ignored);
        by_lists.start(now, ignored);
        for (int i = 0; i < size; ++i) add_endpoint();
        EndpointList all;
        for (const auto& [id, endpoint] : fleet) all.push_back(endpoint);
        const Event event = DiscoveryUpdate{DiscoveryUpdate::Kind::Full, std::make_shared<EndpointList>(all)};
        handle_both(event, event);
    }

    void step() {
        now += std::chrono::microseconds(random.below(20'000));
        const double what = random.unit();
        if (what < 0.12) {
            change();
        } else if (what < 0.6 || open.empty()) {
            Request request;
            request.id = "r" + std::to_string(++last);
            request.class_index = static_cast<std::uint32_t>(random.below(3));
            request.deadline = now + 2s;
            handle_both(request, request);
        } else if (what < 0.9) {
            outcome();
        } else if (!timers.empty()) {
            const SetTimer timer = timers.front();
            timers.erase(timers.begin());
            now = std::max(now, timer.at);
            handle_both(TimerFired{timer.token}, TimerFired{timer.token});
        }
    }

    std::uint64_t sent = 0, changes = 0;

  private:
    struct Out {
        RequestId id;
        AttemptNumber attempt = 0;
        EndpointId endpoint{};
        Time at{};
    };

    void add_endpoint() {
        Endpoint endpoint;
        endpoint.id = EndpointId{static_cast<std::uint32_t>(random.next())};
        endpoint.zone = static_cast<std::uint32_t>(random.below(3));
        endpoint.cell = static_cast<std::uint32_t>(random.below(cells));
        if (random.unit() < 0.5) endpoint.started = now;
        fleet[endpoint.id] = endpoint;
    }

    /// Adds, drains, restores, restarts, moves to another cell, or removes one endpoint.
    void change() {
        ++changes;
        std::vector<Endpoint> changed;
        auto it = fleet.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(random.below(fleet.size())));
        const double what = random.unit();
        if (what < 0.25 || fleet.size() < 5) {
            const auto before = fleet;
            add_endpoint();
            for (const auto& [id, endpoint] : fleet) {
                if (!before.contains(id)) changed.push_back(endpoint);
            }
        } else if (what < 0.5) {
            it->second.availability =
                it->second.availability == Availability::Ready ? Availability::Draining : Availability::Ready;
            changed.push_back(it->second);
        } else if (what < 0.6) {
            it->second.started = now;
            changed.push_back(it->second);
        } else if (what < 0.75) {
            it->second.cell = static_cast<std::uint32_t>(random.below(cells));
            it->second.zone = static_cast<std::uint32_t>(random.below(3));
            changed.push_back(it->second);
        } else {
            Endpoint gone = it->second;
            gone.availability = Availability::Gone;
            changed.push_back(gone);
            fleet.erase(it);
        }
        EndpointList all;
        for (const auto& [id, endpoint] : fleet) all.push_back(endpoint);
        handle_both(DiscoveryUpdate{DiscoveryUpdate::Kind::Delta, std::make_shared<EndpointList>(changed)},
                    DiscoveryUpdate{DiscoveryUpdate::Kind::Full, std::make_shared<EndpointList>(all)});
    }

    void outcome() {
        const std::size_t i = random.below(open.size());
        const Out out = open[i];
        open.erase(open.begin() + static_cast<std::ptrdiff_t>(i));
        constexpr Status kStatuses[] = {Status::Ok,    Status::Ok,       Status::Ok,
                                        Status::Ok,    Status::Error,    Status::Timeout,
                                        Status::Reset, Status::Rejected, Status::ConnectFailed};
        Outcome result;
        result.id = out.id;
        result.attempt = out.attempt;
        result.endpoint = out.endpoint;
        result.status = kStatuses[random.below(std::size(kStatuses))];
        result.latency = now - out.at;
        result.last = result.status == Status::Ok;
        handle_both(result, result);
    }

    void handle_both(const Event& to_first, const Event& to_second) {
        std::vector<Action> first, second;
        by_deltas.handle(now, to_first, first);
        by_lists.handle(now, to_second, second);
        std::vector<std::string> first_text, second_text;
        for (const Action& action : first) first_text.push_back(to_text(action));
        for (const Action& action : second) second_text.push_back(to_text(action));
        ASSERT_EQ(first_text, second_text);
        for (const Action& action : first) {
            if (const auto* send = std::get_if<Send>(&action)) {
                const auto known = fleet.find(send->endpoint);
                ASSERT_NE(known, fleet.end());
                ASSERT_EQ(known->second.availability, Availability::Ready);
                open.push_back({send->id, attempts[send->id]++, send->endpoint, now});
                ++sent;
            } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
                timers.push_back(*timer);
            }
        }
    }

    Random random;
    std::uint32_t cells;
    Balancer by_deltas, by_lists;
    Time now{1s};
    std::map<EndpointId, Endpoint> fleet;
    std::vector<Out> open;
    std::vector<SetTimer> timers;
    std::map<RequestId, AttemptNumber> attempts;
    std::uint64_t last = 0;
};

class LargeFleet : public testing::TestWithParam<DedupScope> {};

TEST_P(LargeFleet, DeltasGiveTheSameDecisionsAsFullLists) {
    std::uint64_t sent = 0, changes = 0;
    for (std::uint64_t seed = 1; seed <= 30 && !HasFatalFailure(); ++seed) {
        BalancerPair pair(seed, GetParam());
        for (int i = 0; i < 1500 && !HasFatalFailure(); ++i) pair.step();
        sent += pair.sent;
        changes += pair.changes;
    }
    EXPECT_GT(sent, 5'000u);
    EXPECT_GT(changes, 3'000u);
}

/// Around the cell size above which servers are placed on the ring one by one instead of in pairs.
TEST_P(LargeFleet, CellSizeCrossesThePairingLimit) {
    std::uint64_t sent = 0, changes = 0;
    for (std::uint64_t seed = 1; seed <= 6 && !HasFatalFailure(); ++seed) {
        BalancerPair pair(seed, GetParam(), 155, 1);
        for (int i = 0; i < 1500 && !HasFatalFailure(); ++i) pair.step();
        sent += pair.sent;
        changes += pair.changes;
    }
    EXPECT_GT(sent, 1'000u);
    EXPECT_GT(changes, 500u);
}

INSTANTIATE_TEST_SUITE_P(Groups, LargeFleet,
                         testing::Values(DedupScope::All, DedupScope::Zone, DedupScope::Cell));

}  // namespace
}  // namespace martenford::decision
