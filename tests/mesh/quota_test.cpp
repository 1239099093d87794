// QuotaAllocator and QuotaLimiter together: whatever is lost, restarted or partitioned, a tenant gets no more
// than its rule allows, and most of what it allows.
#include "quota/quota.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>

#include "policy/mechanics.h"

using namespace martenford;
using namespace martenford::quota;

namespace {

constexpr std::size_t kProxies = 12;
const Quota kQuota{50, 50};
const std::map<std::string, Quota> kQuotas{{"t", kQuota}};
// The rule for kQuota in any 5 s: (rate x window + burst) x (1 + overshoot) + slack.
constexpr double kMaxInWindow = (50 * 5 + 50) * 1.1 + 20;

/// The most requests that were admitted in any 5 s.
class AdmissionWindow {
  public:
    void add(Time now) { admitted_.push_back(now); }
    void advance(Time now) {
        while (!admitted_.empty() && admitted_.front() <= now - 5s) admitted_.pop_front();
    }
    void record_max() { max_ = std::max(max_, admitted_.size()); }
    std::size_t max() const { return max_; }

  private:
    std::deque<Time> admitted_;
    std::size_t max_ = 0;
};

std::string proxy_name(std::size_t i) {
    return "s" + std::to_string(i);
}

/// Whether this proxy sends its heartbeat in this step of 10 ms: each does every 500 ms, one after the other.
bool sends_heartbeat(int step, std::size_t i) {
    return (step + static_cast<int>(i) * 4) % 50 == 0;
}

/// Twelve proxies, a tenant far over its quota, reports and responses that get lost, and two controllers that
/// lead one after another.
struct LossyMesh {
    explicit LossyMesh(std::uint64_t seed) : random(seed) {}
    decision::Random random;
    std::vector<QuotaLimiter> proxies = std::vector<QuotaLimiter>(kProxies, QuotaLimiter({}));
    std::vector<std::uint64_t> acknowledged = std::vector<std::uint64_t>(kProxies);
    std::vector<QuotaAllocator> controllers = std::vector<QuotaAllocator>(2, QuotaAllocator({}));
    Time now{10s}, leading_since = now;
    std::size_t leader = 0;
    AdmissionWindow window;

    void change_leader() {
        leader = 1 - leader;
        leading_since = now + 700ms;  // without a leader until then
        std::fill(acknowledged.begin(), acknowledged.end(), 0);
    }
    /// 80 requests per second: of all proxies together about twenty times the quota.
    void request(std::size_t i) {
        for (int k = 0; k < 2; ++k) {
            if (random.unit() < 0.4 && proxies[i].admit(now, "t", kQuota, kProxies)) window.add(now);
        }
    }
    void heartbeat(std::size_t i) {
        if (random.unit() < 0.1) return;  // the report is lost
        const auto demands = proxies[i].demands(now, {"t"});
        for (std::size_t c = 0; c < controllers.size(); ++c) {
            controllers[c].report_demand(now, proxy_name(i), c == leader ? acknowledged[i] : 0, demands,
                                         kProxies);
        }
        if (now < leading_since) return;
        const auto leases =
            controllers[leader].allocate(now, leading_since, proxy_name(i), kQuotas, kProxies, 0);
        if (random.unit() < 0.1) return;  // the response is lost
        proxies[i].apply_leases(now, leases, now);
        acknowledged[i] = controllers[leader].response_number();
    }
    void run() {
        for (int step = 0; step < 6000; ++step, now += 10ms) {
            if (step % 700 == 699) change_leader();
            for (std::size_t i = 0; i < proxies.size(); ++i) {
                request(i);
                if (sends_heartbeat(step, i)) heartbeat(i);
            }
            window.advance(now);
            if (step > 600) window.record_max();
        }
    }
};

}  // namespace

TEST_CASE("quota: lost messages and changes of leader never admit more than the rule allows, nor much less") {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        LossyMesh mesh(seed);
        mesh.run();
        CAPTURE(seed);
        CAPTURE(mesh.window.max());
        CHECK(static_cast<double>(mesh.window.max()) <= kMaxInWindow);
        CHECK(mesh.window.max() >= 220);
    }
}

TEST_CASE("quota: a proxy without a valid lease admits its fallback share") {
    QuotaLimiter limiter({});
    Time now{10s};
    limiter.apply_leases(now, {{"t", 100, 10, 1600}}, now);
    int admitted = 0;
    for (int i = 0; i < 160; ++i, now += 10ms) admitted += limiter.admit(now, "t", {100, 10}, 12);
    CHECK(admitted >= 150);
    now += 30s;
    admitted = 0;
    for (int i = 0; i < 1000; ++i, now += 10ms) admitted += limiter.admit(now, "t", {100, 10}, 12);
    CHECK(admitted >= 20);  // a quarter of an even share of 100 a second, for 10 s
    CHECK(admitted <= 25);
    CHECK(limiter.admit(now, "unlimited", {0, 0}, 12));
}

TEST_CASE("quota: proxies partitioned from the leader admit their reserved share, within the rule") {
    std::vector<QuotaLimiter> proxies(kProxies, QuotaLimiter({}));
    std::vector<std::uint64_t> acknowledged(kProxies);
    QuotaAllocator leader({});
    Time now{10s};
    const Time leading_since = now, partition_at = now + 10s;
    AdmissionWindow window;
    std::size_t by_partitioned = 0;
    for (int step = 0; step < 2400; ++step, now += 10ms) {
        const std::size_t unheard = now >= partition_at + 1600ms ? 4 : 0;
        for (std::size_t i = 0; i < proxies.size(); ++i) {
            const bool partitioned = i < 4 && now >= partition_at;
            if (step % 2 == 0 && proxies[i].admit(now, "t", kQuota, kProxies)) {
                window.add(now);
                by_partitioned += partitioned;
            }
            if (!sends_heartbeat(step, i) || partitioned) continue;
            leader.report_demand(now, proxy_name(i), acknowledged[i], proxies[i].demands(now, {"t"}),
                                 kProxies);
            proxies[i].apply_leases(
                now, leader.allocate(now, leading_since, proxy_name(i), kQuotas, kProxies, unheard), now);
            acknowledged[i] = leader.response_number();
        }
        window.advance(now);
        window.record_max();
    }
    CHECK(static_cast<double>(window.max()) <= kMaxInWindow);
    CHECK(by_partitioned >= 150);  // four of twelve for 14 s: an even share is 230
}

TEST_CASE("a quota lease counts from the send time of its request, not from when the reply is read") {
    const quota::Quota quota{100, 10};
    quota::QuotaLimiter late({}), prompt({});
    const Time requested_at{10s}, read_at{12500ms};
    prompt.apply_leases(requested_at, {{"t", 100, 10, 2600}}, requested_at);
    late.apply_leases(read_at, {{"t", 100, 10, 2600}}, requested_at);
    const auto remaining_ms = [&](quota::QuotaLimiter& limiter, Time now) {
        limiter.admit(now, "t", quota, 10);
        const auto demands = limiter.demands(now, {"t"});
        return demands.front().lease_remaining_ms;
    };
    CHECK(remaining_ms(late, read_at) <= 100);
    late.apply_leases(read_at + 1s, {{"t", 100, 10, 2600}}, requested_at);
    CHECK(remaining_ms(late, read_at + 1s) == 0);
    CHECK(remaining_ms(prompt, requested_at) == 2600);
}
