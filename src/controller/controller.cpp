// The control plane's program: the agreed register on this machine's disk, the registry, the operator's
// calls.
#include <unistd.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include "bootstrap/program.h"
#include "config_service/config_service.h"
#include "control_api/control_api.h"
#include "durable_store/durable_store.h"
#include "event_log/event_log.h"
#include "quota/quota.h"
#include "registry/registry.h"
#include "rpc/channel.h"

namespace martenford::controller {
namespace {

using event_log::Event;
using event_log::log_event;

constexpr std::size_t kMapBytes = 96 * 1024 * 1024;  // of LMDB; the disk has more
constexpr Duration kTick = 20ms;
constexpr Duration kPollWait = 900ms;  // a poll without news is answered after this
constexpr Duration kGather = 15ms;     // news are gathered for so long before they are told
constexpr Duration kHello = 500ms;
constexpr Duration kInTouch = 700ms;  // a leader's record older than this: out of touch
constexpr Duration kForgetPeer = 20s;
constexpr Duration kSaveAgain = 200ms;  // after a failed write
constexpr Duration kLongestLeave = 2s;  // for giving place and copy away before the end
constexpr Duration kLastWords = 50ms;   // for what is still to be written to connections
constexpr std::size_t kMostControllers = 64;
constexpr std::size_t kMostCallers = 512;

class Controller {
  public:
    Controller(const bootstrap::Settings& settings, std::unique_ptr<durable_store::DurableStore> store,
               raft::PersistentState disk)
        : settings_(settings),
          store_(std::move(store)),
          self_{disk.self_id, bootstrap::own_address(settings), settings.zone, settings.region,
                settings.loss_counted},
          raft_(self_, std::move(disk), raft_options(settings), bootstrap::random_nonzero_id()),
          config_service_(raft_),
          registry_(bootstrap::random_nonzero_id(), {}),
          quota_allocator_(quota_options(settings)),
          signals_(loop_, {[this] { terminate(); },
                           [this](const bootstrap::Settings& reloaded) { dial_seeds(reloaded); }}),
          ticker_(loop_),
          gather_(loop_),
          ending_(loop_),
          operator_api_(loop_,
                        {{control_api::CallName::Replace,
                          [this](auto&& call, auto respond) {
                              config_service_.replace(loop_.now(), call.body, respond);
                              turn();
                          }},
                         {control_api::CallName::Modify,
                          [this](auto&& call, auto respond) {
                              config_service_.modify(loop_.now(), call.body, respond);
                              turn();
                          }},
                         {control_api::CallName::Read,
                          [this](auto&&, auto respond) {
                              config_service_.read(loop_.now(), respond);
                              turn();
                          }}},
                        kMostCallers, counters_),
          listener_(loop_, *parse_address(self_.address),
                    [this](auto channel) { accepted(std::move(channel)); }) {
        config_service_.on_decided = [](bool taken, std::uint32_t version, const std::string& why) {
            if (taken) {
                log_event(Event::ConfigAccepted, "configuration taken",
                          {{"version", mesh_config::text_of(version)}});
            } else {
                log_event(Event::ConfigRejected, "configuration refused",
                          {{"version", mesh_config::text_of(version)}, {"why", why}});
            }
        };
        config_service_.control_address_of = [this](const raft::Member& leader) {
            const auto address = parse_address(leader.address);
            const auto port = settings_.control->port();
            return "http://" + address->address().to_string() + ":" + std::to_string(port);
        };
        operator_api_.listen(*settings.control);
        for (const raft::Member& voter : raft_.persistent_state().last_entry.voters) know(voter);
        dial_seeds(settings);
        tick();
        log_event(Event::Started, "listening",
                  {{"control", text_of(*settings.control)},
                   {"member", std::to_string(self_.id)},
                   {"voter", raft_.is_voter() ? "yes" : "no"}});
    }
    void run() { loop_.run(); }

    void terminate() {
        log_event(Event::Stopping, "stopping");
        const Time now = loop_.now();
        ends_at_ = now + std::min<Duration>(kLongestLeave, settings_.bounds.grace / 3);
        raft_.leave(now);
        turn();
        leave();
    }

    /// Place and copy go to others first; where there is nobody to take them, this one ends all the same.
    void leave() {
        const Time now = loop_.now();
        if (raft_.has_left() || now >= ends_at_) {
            log_event(raft_.has_left() ? Event::VoteTransferred : Event::VoteKept,
                      raft_.has_left() ? "gave its place away" : "ends with its place",
                      {{"copies_elsewhere", raft_.has_left() ? "yes" : "unknown"}});
            // What was answered last goes out first.
            return ending_.set(now + kLastWords, [this] { loop_.stop(); });
        }
        ending_.set(now + kTick, [this] { leave(); });
    }

  private:
    struct Peer {
        std::unique_ptr<rpc::ReconnectingClient> client;
        std::optional<raft::Member> member;
        Time heard{};
    };
    struct Caller {  // a connection to us
        std::shared_ptr<rpc::Channel> channel;
        std::optional<rpc::WatchRequest> poll;
        Time polled{};
    };

    static raft::RaftOptions raft_options(const bootstrap::Settings& settings) {
        raft::RaftOptions options;
        // A restart in order is an absence as well: one machine is borne also where none need be.
        options.fault_tolerance = {std::max<std::size_t>(settings.fault_tolerance.machines, 1),
                                   settings.fault_tolerance.zones, settings.fault_tolerance.regions};
        // A machine that replaces a lost one is to vote well before the next may be lost.
        options.replace_voter_after = std::clamp<Duration>(settings.bounds.catch_up * 3 / 8, 1s, 2500ms);
        return options;
    }
    static quota::QuotaAllocator::Options quota_options(const bootstrap::Settings& settings) {
        quota::QuotaAllocator::Options options;
        options.window = settings.bounds.quota_window;
        options.overshoot = settings.bounds.quota_overshoot;
        options.slack = settings.bounds.quota_slack;
        return options;
    }

    void dial_seeds(const bootstrap::Settings& settings) {
        for (const std::string& address : bootstrap::seed_addresses(settings)) dial(address);
    }

    void dial(const std::string& address) {
        if (address == self_.address || peers_.contains(address) || peers_.size() >= kMostControllers) return;
        const auto to = parse_address(address);
        if (!to) return;
        Peer& peer = peers_[address];
        peer.heard = loop_.now();
        peer.client = std::make_unique<rpc::ReconnectingClient>(
            loop_, *to, [this, address](rpc::Message&& message) { heard(address, std::move(message)); },
            [this, address] { hello(address); }, [] {});
    }
    void know(const raft::Member& member) {
        if (member.id == 0 || member.id == self_.id) return;
        dial(member.address);
        by_id_[member.id] = member.address;
    }
    void hello(const std::string& address) {
        if (const auto peer = peers_.find(address); peer != peers_.end())
            peer->second.client->send(rpc::Hello{self_, controllers()});
    }
    /// Those that were heard of lately, and the voters.
    std::vector<raft::Member> controllers() const {
        std::map<std::string, raft::Member> all{{self_.address, self_}};
        for (const raft::Member& voter : raft_.persistent_state().last_entry.voters)
            all.emplace(voter.address, voter);
        const Time now = loop_.now();
        for (const auto& [address, peer] : peers_) {
            if (peer.member && now - peer.heard < 3s) all[address] = *peer.member;
        }
        std::vector<raft::Member> out;
        for (auto& [address, member] : all) out.push_back(member);
        return out;
    }

    void accepted(std::shared_ptr<rpc::Channel> channel) {
        if (callers_.size() >= kMostCallers * 8) return channel->close();
        const auto key = ++last_caller_;
        callers_[key] = Caller{channel, std::nullopt, {}};
        channel->start([this, key](rpc::Message&& message) { called(key, std::move(message)); },
                       [this, key] { callers_.erase(key); });
    }

    /// On a connection that we dialled.
    void heard(const std::string& address, rpc::Message&& message) {
        const Time now = loop_.now();
        const auto peer = peers_.find(address);
        if (peer == peers_.end()) return;
        if (auto* hello = std::get_if<rpc::Hello>(&message)) {
            peer->second.heard = now;
            peer->second.member = hello->member;
            met(*hello);
        } else if (auto* raft = std::get_if<raft::Message>(&message)) {
            peer->second.heard = now;
            raft_.receive(now, *raft);
            turn();
        }
    }
    void met(const rpc::Hello& hello) {
        const Time now = loop_.now();
        if (hello.member.address == self_.address && hello.member.id != self_.id) return;
        know(hello.member);
        if (const auto peer = peers_.find(hello.member.address); peer != peers_.end()) {
            peer->second.member = hello.member;
            peer->second.heard = now;
        }
        raft_.add_known_member(now, hello.member);
        for (const raft::Member& other : hello.controllers) dial(other.address);
    }

    /// On a connection that another dialled.
    void called(std::uint64_t key, rpc::Message&& message) {
        const Time now = loop_.now();
        const auto caller = callers_.find(key);
        if (caller == callers_.end()) return;
        const auto channel = caller->second.channel;
        if (auto* hello = std::get_if<rpc::Hello>(&message)) {
            met(*hello);
            channel->send(rpc::Hello{self_, controllers()});
        } else if (auto* raft = std::get_if<raft::Message>(&message)) {
            if (raft->to == self_.id) by_id_[raft->from.id] = raft->from.address;
            raft_.receive(now, *raft);
            turn();
        } else if (auto* announce = std::get_if<rpc::RegisterRequest>(&message)) {
            if (registry_.renew_lease(now, announce->registration)) news();
            quota_allocator_.report_demand(now, announce->registration.node, announce->applied_response,
                                           announce->demands);
            rpc::RegisterResponse grants;
            if (raft_.has_leader_lease(now)) {
                grants.from_leader = true;
                grants.quota_leases = quota_allocator_.allocate(
                    now, *raft_.leader_since(), announce->registration.node, quotas(), registry_.size(),
                    registry_.size() - registry_.live_count());
            }
            grants.response_number = quota_allocator_.response_number();
            grants.request_sent_at = announce->sent_at;
            grants.live_proxies = static_cast<std::uint32_t>(registry_.live_count());
            channel->send(grants);
        } else if (auto* poll = std::get_if<rpc::WatchRequest>(&message)) {
            caller->second.poll = *poll;
            caller->second.polled = now;
            if (has_news(*poll)) answer(caller->second);
        }
    }

    const std::map<std::string, quota::Quota>& quotas() {
        const auto& record = config_service_.record();
        if (record.version != quota_version_) {
            quota_version_ = record.version;
            quotas_.clear();
            const auto document = mesh_config::Json::parse(record.document, nullptr, false);
            if (!document.is_discarded()) {
                const auto config = mesh_config::read_config(document);
                if (const auto* read = std::get_if<mesh_config::Config>(&config)) {
                    for (const auto& tenant : read->tenants)
                        quotas_[tenant.name] = {tenant.rate_per_s, tenant.burst};
                }
            }
        }
        return quotas_;
    }

    bool has_news(const rpc::WatchRequest& poll) {
        const auto version = config_service_.record().version;
        return poll.epoch != registry_.epoch() || poll.seq != registry_.seq() ||
               version > poll.config_version;
    }
    void answer(Caller& caller) {
        const Time now = loop_.now();
        const rpc::WatchRequest poll = *std::exchange(caller.poll, std::nullopt);
        const auto& record = config_service_.record();
        rpc::WatchResponse out;
        out.registry = registry_.delta_since(poll.epoch, poll.seq);
        out.config_version = record.version;
        if (poll.wants_config && record.version > poll.config_version) out.config = record.document;
        out.has_quorum_contact = raft_.has_quorum_contact(now, kInTouch);
        out.controllers = controllers();
        caller.channel->send(out);
    }
    /// Tells those who wait, a moment later: what comes together is told together.
    void news() {
        if (gathering_) return;
        gathering_ = true;
        gather_.set(loop_.now() + kGather, [this] {
            gathering_ = false;
            tell(loop_.now());
        });
    }
    void tell(Time now) {
        std::vector<std::uint64_t> keys;
        for (const auto& [key, caller] : callers_) {
            if (caller.poll && (has_news(*caller.poll) || now - caller.polled >= kPollWait))
                keys.push_back(key);
        }
        for (const auto key : keys) {
            if (const auto caller = callers_.find(key); caller != callers_.end()) answer(caller->second);
        }
    }

    void tick() {
        const Time now = loop_.now();
        ticker_.set(now + kTick, [this] { tick(); });
        if (now >= next_hello_) {
            next_hello_ = now + kHello;
            for (auto it = peers_.begin(); it != peers_.end();) {
                const bool voter = std::any_of(raft_.persistent_state().last_entry.voters.begin(),
                                               raft_.persistent_state().last_entry.voters.end(),
                                               [&](const auto& m) { return m.address == it->first; });
                const bool seed = bootstrap::is_seed_address(settings_, it->first);
                if (!voter && !seed && now - it->second.heard > kForgetPeer) {
                    it = peers_.erase(it);
                    continue;
                }
                hello(it->first);
                ++it;
            }
        }
        if (registry_.tick(now)) news();
        // Whether it hears a leader is news to those who have no configuration yet.
        if (const bool in_touch = raft_.has_quorum_contact(now, kInTouch); in_touch != in_touch_) {
            in_touch_ = in_touch;
            for (auto& [key, caller] : callers_) caller.polled = {};
        }
        tell(now);
        raft_.tick(now);
        turn();
    }

    /// After each event of the register: to disk first, then out, then to those who wait.
    void turn() {
        if (std::exchange(turning_, true)) return;
        do {
            save();
            send();
            if (const auto version = config_service_.record().version; version != told_version_) {
                told_version_ = version;
                tell(loop_.now());
            }
            config_service_.process_pending(loop_.now());
        } while (raft_.has_output() && !unsaved_);
        turning_ = false;
        report();
    }
    void save() {
        unsaved_ |= raft_.take_persist_request();
        if (!unsaved_) return;
        if (const Time now = loop_.now(); now >= save_again_) {
            const auto saved = store_->save(rpc::records_of(raft_.persistent_state()));
            if (const auto* trouble = std::get_if<durable_store::StorageError>(&saved)) {
                log_event(Event::StorageFailed, "not written", {{"what", trouble->message}});
                save_again_ = loop_.now() + kSaveAgain;
            } else {
                unsaved_ = false;
                return raft_.on_persisted(loop_.now());
            }
        }
        raft_.on_persist_failed(loop_.now());
    }
    void send() {
        for (const raft::Message& message : raft_.take_messages()) {
            const auto known = by_id_.find(message.to);
            std::string to = known == by_id_.end() ? "" : known->second;
            for (const raft::Member& voter : raft_.persistent_state().last_entry.voters) {
                if (voter.id == message.to) to = voter.address;
            }
            if (to.empty()) continue;
            dial(to);
            if (const auto peer = peers_.find(to); peer != peers_.end()) peer->second.client->send(message);
        }
    }
    void report() {
        if (const bool leads = raft_.role() == raft::RaftNode::Role::Leader; leads != led_) {
            led_ = leads;
            log_event(leads ? Event::LeadershipGained : Event::LeadershipLost,
                      leads ? "leads" : "leads no more",
                      {{"term", std::to_string(raft_.persistent_state().term)}});
        }
        // A set counts once it stands alone: while the one before it has a say, it may not bear a loss yet.
        if (!raft_.persistent_state().last_entry.outgoing_voters.empty() ||
            raft_.persistent_state().last_entry.voters == voters_)
            return;
        voters_ = raft_.persistent_state().last_entry.voters;
        std::string text;
        for (const auto& voter : voters_) {
            text += (text.empty() ? "" : ",") + voter.address;
            know(voter);
        }
        log_event(Event::VotersChanged, "voters", {{"are", text}, {"this", raft_.is_voter() ? "yes" : "no"}});
        if (!raft_.tolerates_failures())
            log_event(Event::FaultToleranceNotMet, "too few voters",
                      {{"voters", std::to_string(voters_.size())},
                       {"machines", std::to_string(settings_.fault_tolerance.machines)},
                       {"zones", std::to_string(settings_.fault_tolerance.zones)},
                       {"regions", std::to_string(settings_.fault_tolerance.regions)}});
    }

    const bootstrap::Settings& settings_;
    Loop loop_;
    Counters counters_;
    std::unique_ptr<durable_store::DurableStore> store_;
    raft::Member self_;
    raft::RaftNode raft_;
    config_service::ConfigService config_service_;
    registry::Registry registry_;
    quota::QuotaAllocator quota_allocator_;
    std::map<std::string, quota::Quota> quotas_;
    std::uint32_t quota_version_ = 0, told_version_ = 0;
    std::map<std::string, Peer> peers_;
    std::map<raft::MemberId, std::string> by_id_;
    std::map<std::uint64_t, Caller> callers_;
    std::uint64_t last_caller_ = 0;
    std::vector<raft::Member> voters_;
    bool led_ = false, in_touch_ = false, gathering_ = false, unsaved_ = false, turning_ = false;
    Time save_again_{}, next_hello_{}, ends_at_{};
    bootstrap::ProcessSignals signals_;
    Timer ticker_, gather_, ending_;
    control_api::ApiServer operator_api_;
    rpc::Listener listener_;
};

/// What this machine's disk holds; a machine whose disk is empty or damaged is a new member.
std::variant<raft::PersistentState, durable_store::StorageError> disk_of(const bootstrap::Settings& settings,
                                                                         durable_store::DurableStore& store) {
    const durable_store::LoadResult found = store.load();
    if (found.damaged) log_event(Event::StorageDamaged, "a record is damaged");
    if (!found.damaged && !found.records.empty()) {
        if (auto disk = rpc::disk_of(found.records); disk && disk->self_id != 0) return *disk;
        log_event(Event::StorageDamaged, "the records don't belong together");
    }
    raft::PersistentState disk;
    disk.self_id = bootstrap::random_nonzero_id();
    const std::string own = bootstrap::own_address(settings);
    if (settings.first_boot && !found.damaged && found.records.empty()) {
        // At the first start of all, all are told the same seeds: they are the first voters, known by their
        // addresses.
        for (const std::string& address : bootstrap::seed_addresses(settings)) {
            const raft::Member member{mesh_config::digest(address, 1) | 1, address};
            disk.last_entry.voters.push_back(member);
            if (address == own) disk.self_id = member.id;
        }
        disk.committed_entry = disk.last_entry;
    } else {
        log_event(Event::NewMember, "a new member without a vote");
    }
    const auto saved = store.save(rpc::records_of(disk));
    if (const auto* trouble = std::get_if<durable_store::StorageError>(&saved)) return *trouble;
    return disk;
}

int main_of(int argc, char** argv) {
    const bootstrap::ProgramDescription program{
        "martenford-controller", "the control plane", [](const bootstrap::Settings& settings) {
            return std::vector<bootstrap::RequiredSetting>{
                {settings.control.has_value(), "listen_addrs.control"},
                {!settings.data_directory.empty(), "data_directory"}};
        }};
    const auto started = bootstrap::start_program(argc, argv, program);
    if (const auto* exit_code = std::get_if<bootstrap::ExitCode>(&started)) return exit_code->value;
    const auto& settings = std::get<bootstrap::Settings>(started);
    // A full or hanging disk at the start is waited for: the machine can do nothing without it.
    for (;;) {
        auto opened = durable_store::DurableStore::open(settings.data_directory, kMapBytes);
        if (const auto* trouble = std::get_if<durable_store::StorageError>(&opened)) {
            log_event(Event::StorageFailed, "can't open", {{"what", trouble->message}});
        } else {
            auto store = std::get<std::unique_ptr<durable_store::DurableStore>>(std::move(opened));
            auto disk = disk_of(settings, *store);
            if (auto* held = std::get_if<raft::PersistentState>(&disk)) {
                Controller controller(settings, std::move(store), std::move(*held));
                controller.run();
                return 0;
            }
            log_event(Event::StorageFailed, "can't write",
                      {{"what", std::get<durable_store::StorageError>(disk).message}});
        }
        ::usleep(200'000);
    }
}

}  // namespace
}  // namespace martenford::controller

int main(int argc, char** argv) {
    return martenford::controller::main_of(argc, argv);
}
