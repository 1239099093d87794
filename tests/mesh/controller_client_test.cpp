// A proxy's links to the controllers, against controllers of this test on loopback. All waits are for what is
// to be seen, or for a time-out of the client itself.
#include "proxy/controller_client.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace martenford;

namespace {

constexpr int kPort = 21990;  // no other test listens here
std::string address_of(int i) {
    return "127.0.96." + std::to_string(i) + ":" + std::to_string(kPort);
}

/// Records what it receives, and answers polls only when the test says so.
class ControllerDouble {
  public:
    ControllerDouble(EventLoop& loop, int i)
        : listener_(loop, *parse_address(address_of(i)), [this](auto channel) {
              ++connections;
              channel_ = channel;
              channel->start([this](rpc::Message&& message) { receive(std::move(message)); }, [] {});
          }) {}

    void answer(const rpc::WatchResponse& response) {
        poll.reset();
        channel_->send(response);
    }
    void send(const rpc::Message& message) { channel_->send(message); }
    void disconnect() { channel_->close(); }

    std::size_t connections = 0;
    std::optional<rpc::WatchRequest> poll;  // unanswered
    std::vector<rpc::RegisterRequest> registrations;

  private:
    void receive(rpc::Message&& message) {
        if (const auto* watch = std::get_if<rpc::WatchRequest>(&message)) poll = *watch;
        if (const auto* registration = std::get_if<rpc::RegisterRequest>(&message))
            registrations.push_back(*registration);
    }

    std::shared_ptr<rpc::Channel> channel_;
    rpc::Listener listener_;
};

struct Fixture : proxy::ControllerObserver {
    Fixture() { own.node = "n"; }
    const registry::ProxyRegistration& registration() const override { return own; }
    std::vector<quota::QuotaDemand> measure_quota_demands(Time) override {
        ++measurements;
        return {{"tenant", 5, 0, 0}};
    }
    void on_quota_leases(Time now, const std::vector<quota::QuotaLease>& leases, Time requested_at) override {
        CHECK(requested_at <= now);
        lease_counts.push_back(leases.size());
    }
    void on_registry_changed(const std::vector<std::string>& nodes) override {
        ++registry_changes;
        changed.insert(changed.end(), nodes.begin(), nodes.end());
    }
    void on_config(std::uint32_t version, const std::string& document) override {
        if (document == "invalid") return;
        client.set_config_version(version);
        documents.push_back(document);
        client.register_with_new_demands();
    }
    void on_quorum_contact_changed(bool has_contact) override { contact.push_back(has_contact); }

    void tick() {
        client.tick();
        ticker.set(loop.now() + 10ms, [this] { tick(); });
    }
    template <class Condition>
    void wait_for(const std::string& what, Condition condition) {
        const Time give_up = EventLoop::monotonic() + 20s;
        while (!condition()) {
            REQUIRE_MESSAGE(EventLoop::monotonic() < give_up, "waited in vain for " << what);
            loop.add(loop.now() + 2ms, [this] { loop.stop(); });
            loop.resume();
            loop.run();
        }
    }

    EventLoop loop;
    registry::ProxyRegistration own;
    ControllerDouble first{loop, 1}, second{loop, 2};
    int measurements = 0;
    std::size_t registry_changes = 0;
    std::vector<std::size_t> lease_counts;
    std::vector<std::string> changed, documents;
    std::vector<bool> contact;
    Timer ticker{loop};
    proxy::ControllerClient client{loop, [](const std::string& address) { return address == address_of(1); },
                                   *this};
};

rpc::WatchResponse offer(std::uint32_t version, bool has_quorum_contact, const std::string& document = "") {
    rpc::WatchResponse response;
    response.config_version = version;
    response.has_quorum_contact = has_quorum_contact;
    response.config = document;
    return response;
}

}  // namespace

TEST_CASE("controller client: a connected controller gets the registration, then a poll of an empty state") {
    Fixture fixture;
    fixture.client.connect(address_of(1));
    fixture.client.connect(address_of(1));  // no second link
    fixture.client.connect("no address");
    fixture.wait_for("a poll", [&] { return fixture.first.poll.has_value(); });
    CHECK(fixture.first.connections == 1);
    REQUIRE(fixture.first.registrations.size() == 1);
    CHECK(fixture.first.registrations[0].registration.node == "n");
    CHECK(fixture.first.registrations[0].demands.size() == 1);
    CHECK(fixture.first.registrations[0].config_version == 0);
    CHECK(fixture.first.poll->epoch == 0);
    CHECK(fixture.first.poll->config_version == 0);
    CHECK_FALSE(fixture.first.poll->wants_config);
}

TEST_CASE("controller client: a newer version is asked for, put in force and registered with new demands") {
    Fixture fixture;
    fixture.client.connect(address_of(1));
    fixture.wait_for("a poll", [&] { return fixture.first.poll.has_value(); });
    auto news = offer(7, true);
    news.registry.epoch = 5;
    news.registry.seq = 9;
    news.registry.is_snapshot = true;
    registry::ProxyRegistration other;
    other.node = "other";
    other.incarnation = 1;
    news.registry.registrations.push_back(other);
    fixture.first.answer(news);
    fixture.wait_for("a poll for the document", [&] { return fixture.first.poll.has_value(); });
    CHECK(fixture.first.poll->epoch == 5);
    CHECK(fixture.first.poll->seq == 9);
    CHECK(fixture.first.poll->wants_config);
    CHECK(fixture.changed == std::vector<std::string>{"other"});
    CHECK(fixture.client.view().entries().size() == 1);
    CHECK(fixture.client.quorum_contact_count() == 1);

    const int measurements = fixture.measurements;
    fixture.first.answer(offer(7, true, "document"));
    fixture.wait_for("the poll after it", [&] { return fixture.first.poll.has_value(); });
    CHECK(fixture.documents == std::vector<std::string>{"document"});
    CHECK(fixture.client.config_version() == 7);
    CHECK(fixture.measurements == measurements + 1);
    CHECK(fixture.first.poll->config_version == 7);
    CHECK_FALSE(fixture.first.poll->wants_config);
    CHECK(fixture.first.registrations.back().config_version == 7);
}

TEST_CASE("controller client: a document that the observer doesn't confirm is asked for again") {
    Fixture fixture;
    fixture.client.connect(address_of(1));
    fixture.wait_for("a poll", [&] { return fixture.first.poll.has_value(); });
    fixture.first.answer(offer(7, true, "invalid"));
    fixture.wait_for("the poll after it", [&] { return fixture.first.poll.has_value(); });
    CHECK(fixture.client.config_version() == 0);
    CHECK(fixture.first.poll->config_version == 0);
    CHECK(fixture.first.poll->wants_config);
}

TEST_CASE("controller client: without quorum contact a first version is postponed, then asked for once") {
    Fixture fixture;
    fixture.client.connect(address_of(1));
    fixture.wait_for("a poll", [&] { return fixture.first.poll.has_value(); });
    fixture.first.answer(offer(3, false));
    fixture.wait_for("the poll after it", [&] { return fixture.first.poll.has_value(); });
    // It names the version, so that the controller doesn't answer at once with the same again.
    CHECK(fixture.first.poll->config_version == 3);
    CHECK_FALSE(fixture.first.poll->wants_config);
    fixture.first.poll.reset();
    fixture.wait_for("the poll after the wait", [&] { return fixture.first.poll.has_value(); });
    CHECK(fixture.first.poll->config_version == 0);
    fixture.first.answer(offer(3, false));
    fixture.wait_for("the poll for the document", [&] { return fixture.first.poll.has_value(); });
    CHECK(fixture.first.poll->wants_config);
}

TEST_CASE("controller client: leases count only from the leader, and from a request of this process") {
    Fixture fixture;
    fixture.client.connect(address_of(1));
    fixture.wait_for("a registration", [&] { return !fixture.first.registrations.empty(); });
    const std::uint64_t sent_at = fixture.first.registrations[0].sent_at;
    const std::vector<quota::QuotaLease> leases{{"tenant", 5, 1, 2600}};
    fixture.first.send(rpc::RegisterResponse{1, leases, false, 1, sent_at});
    fixture.first.send(rpc::RegisterResponse{2, leases, true, 1, sent_at + 3'600'000'000'000});
    fixture.first.send(rpc::RegisterResponse{3, leases, true, 1, sent_at});
    fixture.wait_for("leases", [&] { return !fixture.lease_counts.empty(); });
    CHECK(fixture.lease_counts == std::vector<std::size_t>{1});
    fixture.client.register_now();
    fixture.wait_for("the next registration", [&] { return fixture.first.registrations.size() > 1; });
    CHECK(fixture.first.registrations.back().applied_response == 3);
}

TEST_CASE("controller client: controllers that a response names are connected") {
    Fixture fixture;
    fixture.client.connect(address_of(1));
    fixture.wait_for("a poll", [&] { return fixture.first.poll.has_value(); });
    auto news = offer(0, true);
    news.controllers.push_back({2, address_of(2)});
    fixture.first.answer(news);
    fixture.wait_for("a poll at the other", [&] { return fixture.second.poll.has_value(); });
    CHECK(fixture.second.registrations.size() == 1);
}

TEST_CASE("controller client: quorum contact is reported when it changes, and lost with the connection") {
    Fixture fixture;
    fixture.client.connect(address_of(1));
    fixture.tick();
    fixture.wait_for("a poll", [&] { return fixture.first.poll.has_value(); });
    fixture.first.answer(offer(0, true));
    fixture.wait_for("contact", [&] { return !fixture.contact.empty(); });
    const std::size_t changes = fixture.registry_changes;
    fixture.first.disconnect();
    fixture.wait_for("its loss", [&] { return fixture.contact.size() > 1; });
    CHECK(fixture.contact == std::vector<bool>{true, false});
    CHECK(fixture.registry_changes == changes + 1);
    CHECK(fixture.client.quorum_contact_count() == 0);
    fixture.wait_for("the link again", [&] { return fixture.first.connections == 2; });
}

TEST_CASE("controller client: a controller that doesn't answer a poll for 2.2 s is connected anew") {
    Fixture fixture;
    fixture.client.connect(address_of(1));
    fixture.tick();
    fixture.wait_for("a poll", [&] { return fixture.first.poll.has_value(); });
    const Time polled_at = EventLoop::monotonic();
    fixture.wait_for("another connection", [&] { return fixture.first.connections == 2; });
    CHECK(EventLoop::monotonic() - polled_at >= 2100ms);
}

TEST_CASE("controller client: the registration is sent every 500 ms") {
    Fixture fixture;
    fixture.client.connect(address_of(1));
    fixture.wait_for("a registration", [&] { return !fixture.first.registrations.empty(); });
    fixture.tick();
    const auto& sent = fixture.first.registrations;
    fixture.wait_for("three more", [&] { return sent.size() >= 4; });
    const Duration two_intervals{static_cast<Duration::rep>(sent[3].sent_at - sent[1].sent_at)};
    CHECK(two_intervals >= 950ms);
}
