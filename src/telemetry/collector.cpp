#include "telemetry/collector.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "core/wall_clock.h"

namespace martenford::telemetry {

using decision::RequestId;
using decision::Status;

namespace {

constexpr std::size_t kMostCauses = 5;                        // told at once: more are for a closer look
constexpr std::uint64_t kUsualSince = 300, kMostSince = 310;  // seconds: what the counts reach back
constexpr std::uint64_t kMostSlowest = 100;                   // told at once, some hundred bytes each

const char* name_of(Status status) {
    switch (status) {
        case Status::Ok:
            return "ok";
        case Status::Error:
            return "error";
        case Status::Rejected:
            return "turned-away";
        case Status::Timeout:
            return "timeout";
        case Status::ConnectFailed:
            return "connect-failed";
        case Status::Reset:
            return "reset";
        case Status::Cancelled:
            return "cancelled";
        case Status::NotSent:
            return "never-sent";
    }
    return "unknown";
}

const char* name_of(Observer::Why why) {
    switch (why) {
        case Observer::Why::Endpoint:
            return "endpoint";
        case Observer::Why::Module:
            return "module";
        case Observer::Why::Journal:
            return "journal";
        case Observer::Why::Deadline:
            return "deadline";
        case Observer::Why::Client:
            return "client-left";
        case Observer::Why::Spent:
            return "body-spent";
    }
    return "unknown";
}

const char* name_of(Tally::End how) {
    return how == Tally::End::Served ? "served" : how == Tally::End::Refused ? "refused" : "failed";
}

double ms(Duration d) {
    return static_cast<double>(d.count()) * 1e-6;
}

std::string lines_of(const std::vector<Causes::Cause>& causes, const char* of) {
    std::string text;
    for (const Causes::Cause& c : causes) {
        text += fmt::format("{} {}={}: {} of {} bad, elsewhere {} of {}; by chance {:.1g}\n", of, c.name,
                            c.value, c.bad, c.all, c.rest_bad, c.rest_all, c.chance);
    }
    return text;
}

}  // namespace

Collector::Collector(const Scheduler& scheduler, const decision::Settings& settings, NamesOfNumbers names,
                     const Options& options, std::uint64_t seed, Counters& counters)
    : scheduler_(scheduler),
      settings_(settings),
      names_(std::move(names)),
      requests_({"class", "tenant", "endpoint", "zone", "kind", "client-retry"}, options.causes),
      attempts_({"endpoint", "zone", "kind", "class"}, options.causes),
      stories_(options.stories, seed),
      latencies_(settings.classes.size()),
      offered_(counters.counter("telemetry.stories", "requests whose story was told")),
      kept_(counters.counter("telemetry.kept", "of them, kept for a while")) {
    counters.gauge("telemetry.evicted_values", "names that gave way to others in the search for causes",
                   [this] { return static_cast<double>(requests_.evicted() + attempts_.evicted()); });
}

const Collector::Node& Collector::node(EndpointId id) const {
    static const Node kUnknown{"?", 0, 0};
    const auto it = nodes_.find(id);
    return it == nodes_.end() ? kUnknown : it->second;
}

std::string_view Collector::at(const std::vector<std::string>& names, std::uint32_t index) {
    return index < names.size() ? std::string_view(names[index]) : std::string_view();
}

void Collector::name(EndpointId id, const std::string& uid) {
    nodes_[id].uid = uid;
}

void Collector::listed(const decision::DiscoveryUpdate& news) {
    if (!news.endpoints) return;
    for (const decision::Endpoint& each : *news.endpoints) {
        if (each.availability == decision::Availability::Gone) {
            nodes_.erase(each.id);
        } else {
            Node& node = nodes_[each.id];
            node.zone = each.zone;
            node.kind = each.kind;
        }
    }
}

void Collector::taken(const decision::Request& request) {
    Open& open = open_[request.id];
    open.story.id = request.id;
    open.story.klass = settings_.classes[request.class_index].name;
    open.story.taken = scheduler_.now();
    open.story.wall_ms = wall_ms();
    open.class_index = request.class_index;
    if (request.tenant && *request.tenant < settings_.tenants.size())
        open.tenant = settings_.tenants[*request.tenant].name;
    open.resent = request.resent;
}

void Collector::sent(const RequestId& id, std::size_t attempt, EndpointId endpoint) {
    const auto it = open_.find(id);
    if (it == open_.end()) return;
    Open& open = it->second;
    // Attempts that ended before they were sent have no place in the story.
    open.endpoints.resize(attempt + 1, EndpointId{});
    open.steps.resize(attempt + 1, 0);
    open.endpoints[attempt] = endpoint;
    open.steps[attempt] = open.story.steps.size() + 1;
    open.story.steps.push_back({node(endpoint).uid, scheduler_.now() - open.story.taken, {}, "out"});
    ++open.out;
}

void Collector::ended(const RequestId& id, std::size_t attempt, Status status) {
    const auto it = open_.find(id);
    if (it == open_.end()) return;
    Open& open = it->second;
    if (attempt >= open.steps.size() || open.steps[attempt] == 0) return;
    Step& step = open.story.steps[std::exchange(open.steps[attempt], 0) - 1];
    step.to = scheduler_.now() - open.story.taken;
    step.outcome = name_of(status);
    --open.out;
    if (status != Status::NotSent && status != Status::Cancelled) {
        const Node& where = node(open.endpoints[attempt]);
        attempts_.saw(
            scheduler_.now(),
            {where.uid, at(names_.zones, where.zone), at(names_.kinds, where.kind), open.story.klass},
            status != Status::Ok);
    }
    forget_if_over(id);
}

void Collector::completed(const RequestId& id, Tally::End how, Why why) {
    const auto it = open_.find(id);
    if (it == open_.end()) return;
    Open& open = it->second;
    Story& story = open.story;
    story.took = scheduler_.now() - story.taken;
    story.answer = why == Why::Client ? "left" : name_of(how);
    story.why = name_of(why);
    const auto& rules = settings_.classes[open.class_index];
    story.late =
        how == Tally::End::Served && rules.latency_target > Duration{} && story.took > rules.latency_target;
    open.over = true;
    if (how == Tally::End::Served)
        latencies_[open.class_index].add(static_cast<double>(story.took.count()) * 1e-9);
    // Its client's own leaving says nothing of us.
    if (why != Why::Client) {
        const Node* where = open.endpoints.empty() ? nullptr : &node(open.endpoints.back());
        requests_.saw(
            scheduler_.now(),
            {story.klass, open.tenant, where ? std::string_view(where->uid) : std::string_view(),
             where ? at(names_.zones, where->zone) : std::string_view(),
             where ? at(names_.kinds, where->kind) : std::string_view(), open.resent ? "yes" : "no"},
            how != Tally::End::Served || story.late);
    }
    forget_if_over(id);
}

/// Told once its last attempt has ended too: what was still out when the answer was given belongs to the
/// story.
void Collector::forget_if_over(const RequestId& id) {
    const auto it = open_.find(id);
    if (it == open_.end() || !it->second.over || it->second.out > 0) return;
    offered_.add();
    if (stories_.offer(std::move(it->second.story))) kept_.add();
    open_.erase(it);
}

std::optional<std::string> Collector::answer(std::string_view line) const {
    std::vector<std::string_view> words;
    for (std::size_t at = 0; (at = line.find_first_not_of(' ', at)) != line.npos;) {
        const auto end = std::min(line.find(' ', at), line.size());
        words.push_back(line.substr(at, end - at));
        at = end;
    }
    const auto number = [&](std::size_t word, std::uint64_t otherwise, std::uint64_t most) {
        std::uint64_t value = otherwise;
        if (word < words.size())
            std::from_chars(words[word].data(), words[word].data() + words[word].size(), value);
        return std::clamp<std::uint64_t>(value, 1, most);
    };
    if (words.empty()) return std::nullopt;
    if (words[0] == "why" && words.size() <= 2)
        return why(std::chrono::seconds(number(1, kUsualSince, kMostSince)));
    if (words[0] == "latencies" && words.size() == 1) return latencies();
    if (words[0] == "story" && words.size() == 2) {
        auto text = story(std::string(words[1]));
        return text.empty() ? "none is kept of it\n" : text;
    }
    if (words[0] == "slowest" && words.size() <= 3) {
        return slowest(number(1, 10, kMostSlowest), words.size() > 2 ? std::string(words[2]) : std::string());
    }
    return std::nullopt;
}

std::string Collector::why(Duration since) const {
    const Time now = scheduler_.now();
    std::string text = lines_of(requests_.explain(now, since, kMostCauses), "requests");
    text += lines_of(attempts_.explain(now, since, kMostCauses), "attempts");
    return text.empty() ? "nothing stands out\n" : text;
}

std::string Collector::tell(const Story& story) const {
    std::string text = fmt::format("{} {} {} by {} after {:.1f} ms{}\n", story.id, story.klass, story.answer,
                                   story.why, ms(story.took), story.late ? ", late" : "");
    for (const Step& step : story.steps) {
        text += fmt::format("  {:.1f} ms: to {}, {} at {:.1f} ms\n", ms(step.from), step.endpoint,
                            step.outcome, ms(step.to));
    }
    return text;
}

std::string Collector::story(const std::string& id) const {
    const Story* found = stories_.find(id);
    return found ? tell(*found) : std::string();
}

std::string Collector::slowest(std::size_t most, const std::string& klass) const {
    std::vector<const Story*> all;
    stories_.each([&](const Story& story, TailSampler::Reason) {
        if (klass.empty() || story.klass == klass) all.push_back(&story);
        return true;
    });
    most = std::min(most, all.size());
    std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(most), all.end(),
                      [](const Story* a, const Story* b) { return a->took > b->took; });
    std::string text;
    for (std::size_t i = 0; i < most; ++i) text += tell(*all[i]);
    return text.empty() ? "none is kept\n" : text;
}

std::string Collector::latencies() const {
    std::string text;
    for (std::size_t i = 0; i < latencies_.size(); ++i) {
        const Sketch& each = latencies_[i];
        text += fmt::format("{}: {} served, p50 {:.1f} ms, p90 {:.1f} ms, p99 {:.1f} ms, p99.9 {:.1f} ms\n",
                            settings_.classes[i].name, each.count(), each.quantile(0.5) * 1e3,
                            each.quantile(0.9) * 1e3, each.quantile(0.99) * 1e3, each.quantile(0.999) * 1e3);
    }
    return text;
}

}  // namespace martenford::telemetry
