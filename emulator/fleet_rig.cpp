#include "emulator/fleet_rig.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace martenford::emulator {

using boost::system::error_code;

namespace {

constexpr Duration kPollEvery = 150ms,
                   kPollEach = 5ms;   // the second for each member: the rig has one core, too
constexpr Duration kAnswerTime = 2s;  // for a call of the console: a stopped process does not answer
constexpr Duration kLook = 25ms;

using Fields = std::map<std::string, std::string>;

Fields fields_of(std::string_view line) {
    Fields fields;
    while (!line.empty()) {
        const auto end = std::min(line.find(' '), line.size());
        const auto word = line.substr(0, end);
        if (const auto equals = word.find('='); equals != word.npos)
            fields.emplace(word.substr(0, equals), word.substr(equals + 1));
        line.remove_prefix(std::min(end + 1, line.size()));
    }
    return fields;
}

template <class What>
void each_line(std::string_view reply, What&& what) {
    while (!reply.empty()) {
        const auto end = std::min(reply.find('\n'), reply.size());
        what(reply.substr(0, end));
        reply.remove_prefix(std::min(end + 1, reply.size()));
    }
}

/// One field without the others: 300 members tell of 300 each, and whoever reads them relays between them,
/// too.
std::string_view field_of(std::string_view line, std::string_view name) {
    for (auto at = line.find(name); at != line.npos; at = line.find(name, at + 1)) {
        const auto equals = at + name.size();
        if ((at != 0 && line[at - 1] != ' ') || equals >= line.size() || line[equals] != '=') continue;
        const auto rest = line.substr(equals + 1);
        return rest.substr(0, rest.find(' '));
    }
    return {};
}

/// What the platform tells a sidecar that is here for its fleet alone: one endpoint that nobody asks.
std::string platform_config(const std::string& name, std::size_t sockets) {
    nlohmann::ordered_json klass{{"name", "look"},
                                 {"credit", 1},
                                 {"slo", 1'000'000'000},
                                 {"deadline", 2'000'000'000},
                                 {"effect", "free"}};
    nlohmann::ordered_json target{
        {"uid", "s-1"},     {"endpoint", "127.0.0.1:9"}, {"az", "a"},   {"model", "m"}, {"pod_group", 0},
        {"state", "Ready"}, {"capacity_hint", 1.0},      {"boot_ms", 0}};
    nlohmann::ordered_json root{
        {"name", name},
        {"listen", "127.0.0.1:0"},
        {"console", "127.0.0.1:0"},
        {"discovery", "127.0.0.1:9"},
        {"seed", "8c1f30d27a5be964"},
        {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", sockets}}},
        {"known", {{"rev", 1}, {"all", true}, {"targets", nlohmann::ordered_json::array({target})}}},
        {"settings",
         {{"replicas_of_me", 1},
          {"position", 0},
          {"zone", 0},
          {"dcs", {"a"}},
          {"kinds", {"m"}},
          {"tiers", {"t"}},
          {"layer", 0},
          {"tick", 5'000'000},
          {"weights", "none"},
          {"accounts", nlohmann::ordered_json::array()},
          {"discovery", "subscribe"},
          {"classes", nlohmann::ordered_json::array({klass})},
          {"limits",
           {{"try_limit", 3},
            {"dial_timeout", 500'000'000},
            {"conn_idle", 30'000'000'000},
            {"may_cancel", true},
            {"probing", true}}},
          {"invariants",
           {{"answer_slack", 20'000'000},
            {"ask_every", 10'000'000'000},
            {"cold_from", 0.3},
            {"fall_multiple", 3.0},
            {"ramp_time", 5'000'000'000},
            {"stop_sending_within", 1'000'000'000},
            {"tip_after", 1'000'000'000}}}}}};
    return root.dump();
}

}  // namespace

/// One call of a console.
class FleetRig::Question : public std::enable_shared_from_this<FleetRig::Question> {
  public:
    using Done = std::function<void(std::optional<std::string>)>;
    Question(EventLoop& loop, std::string call, Done done)
        : socket_(loop.io()),
          limit_(loop),
          loop_(loop),
          call_(std::move(call) + "\n"),
          done_(std::move(done)) {}
    void ask(const Address& where) {
        limit_.set(loop_.now() + kAnswerTime, [self = shared_from_this()] { self->over(std::nullopt); });
        socket_.async_connect(where, [self = shared_from_this()](const error_code& error) {
            if (error) return self->over(std::nullopt);
            asio::async_write(self->socket_, asio::buffer(self->call_),
                              [self](const error_code& error, std::size_t) {
                                  if (error) return self->over(std::nullopt);
                                  self->read();
                              });
        });
    }

  private:
    void read() {
        socket_.async_read_some(asio::buffer(chunk_),
                                [self = shared_from_this()](const error_code& error, std::size_t size) {
                                    self->reply_.append(self->chunk_.data(), size);
                                    if (!error) return self->read();
                                    const bool whole = self->reply_.ends_with("END\n");
                                    self->over(whole ? std::optional(self->reply_) : std::nullopt);
                                });
    }
    void over(std::optional<std::string> reply) {
        if (!done_) return;
        const auto self = shared_from_this();
        limit_.cancel();
        error_code ignored;
        socket_.close(ignored);
        std::exchange(done_, nullptr)(std::move(reply));
    }
    asio::ip::tcp::socket socket_;
    Timer limit_;
    EventLoop& loop_;
    std::string call_, reply_;
    Done done_;
    std::array<char, 4096> chunk_{};
};

FleetRig::FleetRig(EventLoop& loop, Options options)
    : loop_(loop),
      options_(std::move(options)),
      net_(loop, options_.seed),
      members_(options_.members),
      poll_(loop) {
    poll();
}

FleetRig::~FleetRig() {
    // SIGKILL ends a stopped process too; each is reaped, by its id, as it goes.
    for (Member& member : members_) {
        if (member.process) member.process->kill();
    }
}

void FleetRig::start(std::size_t index, const std::string& name) {
    Member& member = members_[index];
    if (member.process) return;
    const std::size_t starts = ++member.starts;
    std::string seeds;
    for (std::size_t i = 0; i < std::min(options_.seeds, options_.members); ++i)
        seeds += fmt::format("{}\"{}\"", i ? ", " : "", net_.advertised(i));
    const std::string called = name.empty() ? fmt::format("n{}", index) : name;
    std::string fields = options_.fleet;
    for (auto at = fields.find("{name}"); at != fields.npos; at = fields.find("{name}", at))
        fields.replace(at, 6, called);
    const std::string own =
        fmt::format("[fleet]\nname = \"rig\"\nlisten = \"{}:0\"\nadvertise = \"{}\"\nseeds = [{}]\n{}\n",
                    RelayNet::host_of(index), net_.advertised(index), seeds, fields);
    member.boot.clear();
    member.beliefs.clear();
    member.alive.clear();
    member.own.clear();
    member.last_turn = 0;
    member.stopped = member.ending = member.asking = false;
    done(index, "started");
    std::string directory;
    if (options_.directories) {
        directory = options_.folder + "/of-" + called;
        std::filesystem::create_directories(directory);
    }
    member.process = SidecarProcess::start(
        loop_, options_.program, options_.folder, fmt::format("n{}-{}", index, starts),
        platform_config(called, options_.sockets), own,
        [this, index, starts](const std::string& line) {
            Member& member = members_[index];
            member.log.push_back(line);
            if (member.starts != starts || !member.process) return;
            if (member.process->fleet().port() != 0) net_.up(index, member.process->fleet());
        },
        directory);
}

void FleetRig::start_all() {
    for (std::size_t i = 0; i < members_.size(); ++i) start(i);
}

void FleetRig::kill(std::size_t index) {
    Member& member = members_[index];
    if (!member.process) return;
    done(index, "killed");
    net_.down(index);
    member.process->kill();
    ended_.push_back(std::move(member.process));
    member.process.reset();
}

void FleetRig::stop(std::size_t index) {
    if (!members_[index].process || std::exchange(members_[index].stopped, true)) return;
    done(index, "stopped");
    members_[index].process->pause();
}

void FleetRig::wake(std::size_t index) {
    if (!members_[index].process || !std::exchange(members_[index].stopped, false)) return;
    done(index, "woken");
    members_[index].process->wake();
}

void FleetRig::end(std::size_t index) {
    Member& member = members_[index];
    if (!member.process) return;
    done(index, "ended");
    member.ending = true;
    member.process->terminate();
}

std::set<std::size_t> FleetRig::others(const std::set<std::size_t>& group) const {
    std::set<std::size_t> result;
    for (std::size_t i = 0; i < members_.size(); ++i) {
        if (!group.contains(i)) result.insert(i);
    }
    return result;
}

bool FleetRig::await(const std::function<bool()>& so, Duration most) {
    bool held = false;
    Timer look(loop_);
    const Time end = loop_.now() + most;
    std::function<void()> again = [&] {
        held = so();
        if (held || loop_.now() >= end) return loop_.stop();
        look.set(loop_.now() + kLook, again);
    };
    again();
    loop_.run();
    loop_.resume();
    return held;
}

void FleetRig::run_for(Duration time) {
    await([] { return false; }, time);
}

/// One member after the other: answers that come all at once would hold up what is relayed.
void FleetRig::poll() {
    const auto each = std::max(kPollEach, kPollEvery / static_cast<int>(members_.size()));
    poll_.set(loop_.now() + each, [this] { poll(); });
    const std::size_t i = polled_++ % members_.size();
    Member& member = members_[i];
    if (member.process && member.ending && member.process->ended()) {
        net_.down(i);
        ended_.push_back(std::move(member.process));
        member.process.reset();
    }
    if (member.process && !member.stopped && !member.asking && member.process->console().port() != 0) ask(i);
}

void FleetRig::ask(std::size_t index) {
    Member& member = members_[index];
    member.asking = true;
    const std::size_t starts = member.starts;
    const Address where = member.process->console();
    const auto current = [this, index, starts] {
        return members_[index].starts == starts && members_[index].process;
    };
    std::make_shared<Question>(loop_, "fleet members",
                               [this, index, where, current](std::optional<std::string> reply) {
                                   if (!current()) return;
                                   if (!reply) {
                                       members_[index].asking = false;
                                       return;
                                   }
                                   take_members(index, *reply);
                                   std::make_shared<Question>(
                                       loop_, fmt::format("fleet turns {}", members_[index].last_turn),
                                       [this, index, current](std::optional<std::string> reply) {
                                           if (!current()) return;
                                           members_[index].asking = false;
                                           if (reply) take_turns(index, *reply);
                                       })
                                       ->ask(where);
                               })
        ->ask(where);
}

void FleetRig::take_members(std::size_t index, const std::string& reply) {
    Member& member = members_[index];
    member.beliefs.clear();
    member.alive.clear();
    each_line(reply, [&](std::string_view line) {
        const std::string name(field_of(line, "name"));
        if (name.empty()) return;
        member.beliefs.push_back({name, std::string(field_of(line, "boot")),
                                  std::string(field_of(line, "state")), !field_of(line, "doubled").empty()});
        const Believed& believed = member.beliefs.back();
        if (believed.state == "alive") member.alive.insert(believed.boot);
        if (field_of(line, "self").empty()) return;
        member.boot = believed.boot;
        by_boot_[member.boot] = index;
        member.own = fields_of(line);
    });
}

void FleetRig::take_turns(std::size_t index, const std::string& reply) {
    each_line(reply, [&](std::string_view line) {
        Fields fields = fields_of(line);
        if (!fields.contains("number")) return;
        members_[index].last_turn = std::stoull(fields["number"]);
        std::size_t subject = members_.size();
        if (fields["name"].starts_with("n")) subject = std::stoul(fields["name"].substr(1));
        history_.push_back({Time{Duration{std::stoll(fields["at_ns"])}}, index, subject, fields["boot"],
                            fields["state"], false});
    });
}

std::optional<std::string> FleetRig::call(std::size_t index, const std::string& line) {
    if (!members_[index].process || members_[index].process->console().port() == 0) return std::nullopt;
    // Whoever asked may no longer wait when an answer comes.
    const auto answer = std::make_shared<std::pair<bool, std::optional<std::string>>>();
    std::make_shared<Question>(loop_, line, [answer](std::optional<std::string> reply) {
        *answer = {true, std::move(reply)};
    })->ask(members_[index].process->console());
    await([&] { return answer->first; }, 2 * kAnswerTime);
    if (!answer->second || !answer->second->ends_with("END\n")) return std::nullopt;
    return answer->second->substr(0, answer->second->size() - 4);
}

std::size_t FleetRig::holds(std::size_t index, const std::string& state) const {
    const auto& beliefs = members_[index].beliefs;
    return static_cast<std::size_t>(
        std::count_if(beliefs.begin(), beliefs.end(), [&](const Believed& b) { return b.state == state; }));
}

std::string FleetRig::holds_of(std::size_t observer, std::size_t subject) const {
    for (const Believed& each : members_[observer].beliefs) {
        if (each.boot == members_[subject].boot) return each.state;
    }
    return {};
}

bool FleetRig::all_agree() const {
    std::set<std::string> up;
    for (const Member& member : members_) {
        if (!member.process) continue;
        if (member.boot.empty() || member.ending) return false;
        up.insert(member.boot);
    }
    return std::all_of(members_.begin(), members_.end(), [&](const Member& member) {
        if (!member.process) return true;
        const auto unsure = [](const Believed& b) {
            return b.state != "alive" && b.state != "dead" && b.state != "left";
        };
        return member.alive == up && std::none_of(member.beliefs.begin(), member.beliefs.end(), unsure);
    });
}

double FleetRig::own(std::size_t member, const std::string& field) const {
    const auto it = members_[member].own.find(field);
    return it == members_[member].own.end() ? 0.0 : std::strtod(it->second.c_str(), nullptr);
}

void FleetRig::done(std::size_t member, const std::string& what) {
    history_.push_back({loop_.now(), member, member, members_[member].boot, what, true});
}

void FleetRig::write_history(const std::string& path) const {
    std::ofstream out(path, std::ios::trunc);
    for (const Entry& each : history_) {
        const nlohmann::ordered_json line{{"at_ns", each.at.time_since_epoch().count()},
                                          {each.done ? "member" : "observer", each.observer},
                                          {"subject", each.subject},
                                          {"boot", each.boot},
                                          {each.done ? "done" : "holds", each.what}};
        out << line.dump() << "\n";
    }
}

std::string FleetRig::beliefs_text() const {
    std::string text;
    for (std::size_t i = 0; i < members_.size(); ++i) {
        text += fmt::format("{}{}:", i, members_[i].process ? "" : " (down)");
        for (const Believed& each : members_[i].beliefs) text += fmt::format(" {}={}", each.name, each.state);
        text += "\n";
    }
    return text;
}

std::optional<std::size_t> FleetRig::crashed() {
    for (std::size_t i = 0; i < members_.size(); ++i) {
        if (members_[i].process && !members_[i].ending && members_[i].process->ended()) return i;
    }
    return std::nullopt;
}

}  // namespace martenford::emulator
