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

constexpr std::size_t kMaxCauses = 5;                          // per reply; more would not help a first look
constexpr std::uint64_t kDefaultSince = 300, kMaxSince = 310;  // seconds; the counts reach back no further
constexpr std::uint64_t kMaxSlowest = 100;                     // per reply; some hundred bytes each

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

const char* name_of(Observer::CompletionReason why) {
    switch (why) {
        case Observer::CompletionReason::Endpoint:
            return "endpoint";
        case Observer::CompletionReason::Policy:
            return "module";
        case Observer::CompletionReason::Journal:
            return "journal";
        case Observer::CompletionReason::Deadline:
            return "deadline";
        case Observer::CompletionReason::ClientDisconnected:
            return "client-left";
        case Observer::CompletionReason::BodyConsumed:
            return "body-spent";
    }
    return "unknown";
}

const char* name_of(RequestCounters::Outcome how) {
    return how == RequestCounters::Outcome::Served    ? "served"
           : how == RequestCounters::Outcome::Refused ? "refused"
                                                      : "failed";
}

double to_ms(Duration d) {
    return static_cast<double>(d.count()) * 1e-6;
}

std::string lines_of(const std::vector<CauseAnalyzer::Cause>& causes, const char* of) {
    std::string text;
    for (const CauseAnalyzer::Cause& c : causes) {
        text += fmt::format("{} {}={}: {} of {} bad, elsewhere {} of {}; by chance {:.1g}\n", of, c.name,
                            c.value, c.bad, c.all, c.rest_bad, c.rest_all, c.p_value);
    }
    return text;
}

}  // namespace

Collector::Collector(const Scheduler& scheduler, const decision::Settings& settings, AttributeNames names,
                     const Options& options, std::uint64_t seed, Counters& counters)
    : scheduler_(scheduler),
      settings_(settings),
      names_(std::move(names)),
      requests_({"class", "tenant", "endpoint", "zone", "kind", "client-retry"}, options.causes),
      attempts_({"endpoint", "zone", "kind", "class"}, options.causes),
      sampler_(options.sampler, seed),
      latencies_(settings.classes.size()),
      offered_(counters.counter("telemetry.stories", "requests whose trace was completed")),
      kept_(counters.counter("telemetry.kept", "traces that the tail sampler kept")) {
    counters.gauge("telemetry.evicted_values", "attribute values evicted from the cause analysis",
                   [this] { return static_cast<double>(requests_.evicted() + attempts_.evicted()); });
}

const Collector::EndpointInfo& Collector::endpoint_info(EndpointId id) const {
    static const EndpointInfo kUnknown{"?", 0, 0};
    const auto it = endpoints_.find(id);
    return it == endpoints_.end() ? kUnknown : it->second;
}

std::string_view Collector::at(const std::vector<std::string>& names, std::uint32_t index) {
    return index < names.size() ? std::string_view(names[index]) : std::string_view();
}

void Collector::name(EndpointId id, const std::string& uid) {
    endpoints_[id].uid = uid;
}

void Collector::endpoints_listed(const decision::DiscoveryUpdate& news) {
    if (!news.endpoints) return;
    for (const decision::Endpoint& each : *news.endpoints) {
        if (each.availability == decision::Availability::Gone) {
            endpoints_.erase(each.id);
        } else {
            EndpointInfo& endpoint_info = endpoints_[each.id];
            endpoint_info.zone = each.zone;
            endpoint_info.kind = each.kind;
        }
    }
}

void Collector::request_accepted(const decision::Request& request) {
    OpenRequest& open = open_requests_[request.id];
    open.trace.id = request.id;
    open.trace.klass = settings_.classes[request.class_index].name;
    open.trace.started = scheduler_.now();
    open.trace.wall_ms = wall_ms();
    open.class_index = request.class_index;
    if (request.tenant && *request.tenant < settings_.tenants.size())
        open.tenant = settings_.tenants[*request.tenant].name;
    open.resent = request.resent;
}

void Collector::attempt_sent(const RequestId& id, std::size_t attempt, EndpointId endpoint) {
    const auto it = open_requests_.find(id);
    if (it == open_requests_.end()) return;
    OpenRequest& open = it->second;
    // Attempts that ended before they were sent do not appear in the trace.
    open.endpoints.resize(attempt + 1, EndpointId{});
    open.span_indices.resize(attempt + 1, 0);
    open.endpoints[attempt] = endpoint;
    open.span_indices[attempt] = open.trace.spans.size() + 1;
    open.trace.spans.push_back(
        {endpoint_info(endpoint).uid, scheduler_.now() - open.trace.started, {}, "out"});
    ++open.out;
}

void Collector::attempt_ended(const RequestId& id, std::size_t attempt, Status status) {
    const auto it = open_requests_.find(id);
    if (it == open_requests_.end()) return;
    OpenRequest& open = it->second;
    if (attempt >= open.span_indices.size() || open.span_indices[attempt] == 0) return;
    Span& span = open.trace.spans[std::exchange(open.span_indices[attempt], 0) - 1];
    span.end = scheduler_.now() - open.trace.started;
    span.outcome = name_of(status);
    --open.out;
    if (status != Status::NotSent && status != Status::Cancelled) {
        const EndpointInfo& where = endpoint_info(open.endpoints[attempt]);
        attempts_.observe(
            scheduler_.now(),
            {where.uid, at(names_.zones, where.zone), at(names_.kinds, where.kind), open.trace.klass},
            status != Status::Ok);
    }
    finish_if_over(id);
}

void Collector::request_completed(const RequestId& id, RequestCounters::Outcome how, CompletionReason why) {
    const auto it = open_requests_.find(id);
    if (it == open_requests_.end()) return;
    OpenRequest& open = it->second;
    RequestTrace& trace = open.trace;
    trace.duration = scheduler_.now() - trace.started;
    trace.answer = why == CompletionReason::ClientDisconnected ? "left" : name_of(how);
    trace.why = name_of(why);
    const auto& rules = settings_.classes[open.class_index];
    trace.late = how == RequestCounters::Outcome::Served && rules.latency_target > Duration{} &&
                 trace.duration > rules.latency_target;
    open.over = true;
    if (how == RequestCounters::Outcome::Served)
        latencies_[open.class_index].add(static_cast<double>(trace.duration.count()) * 1e-9);
    // A client that disconnects says nothing about this service.
    if (why != CompletionReason::ClientDisconnected) {
        const EndpointInfo* where = open.endpoints.empty() ? nullptr : &endpoint_info(open.endpoints.back());
        requests_.observe(
            scheduler_.now(),
            {trace.klass, open.tenant, where ? std::string_view(where->uid) : std::string_view(),
             where ? at(names_.zones, where->zone) : std::string_view(),
             where ? at(names_.kinds, where->kind) : std::string_view(), open.resent ? "yes" : "no"},
            how != RequestCounters::Outcome::Served || trace.late);
    }
    finish_if_over(id);
}

/// Completes a trace after its last attempt ended: attempts still in flight when the answer was given belong
/// to the trace.
void Collector::finish_if_over(const RequestId& id) {
    const auto it = open_requests_.find(id);
    if (it == open_requests_.end() || !it->second.over || it->second.out > 0) return;
    offered_.add();
    if (sampler_.offer(std::move(it->second.trace))) kept_.add();
    open_requests_.erase(it);
}

std::optional<std::string> Collector::answer(std::string_view line) const {
    std::vector<std::string_view> words;
    for (std::size_t at = 0; (at = line.find_first_not_of(' ', at)) != line.npos;) {
        const auto end = std::min(line.find(' ', at), line.size());
        words.push_back(line.substr(at, end - at));
        at = end;
    }
    const auto number = [&](std::size_t word, std::uint64_t default_value, std::uint64_t max_count) {
        std::uint64_t value = default_value;
        if (word < words.size())
            std::from_chars(words[word].data(), words[word].data() + words[word].size(), value);
        return std::clamp<std::uint64_t>(value, 1, max_count);
    };
    if (words.empty()) return std::nullopt;
    if (words[0] == "why" && words.size() <= 2)
        return why(std::chrono::seconds(number(1, kDefaultSince, kMaxSince)));
    if (words[0] == "latencies" && words.size() == 1) return latencies();
    if (words[0] == "story" && words.size() == 2) {
        auto text = trace(std::string(words[1]));
        return text.empty() ? "none is kept of it\n" : text;
    }
    if (words[0] == "slowest" && words.size() <= 3) {
        return slowest(number(1, 10, kMaxSlowest), words.size() > 2 ? std::string(words[2]) : std::string());
    }
    return std::nullopt;
}

std::string Collector::why(Duration since) const {
    const Time now = scheduler_.now();
    std::string text = lines_of(requests_.explain(now, since, kMaxCauses), "requests");
    text += lines_of(attempts_.explain(now, since, kMaxCauses), "attempts");
    return text.empty() ? "nothing stands out\n" : text;
}

std::string Collector::format_trace(const RequestTrace& trace) const {
    std::string text = fmt::format("{} {} {} by {} after {:.1f} ms{}\n", trace.id, trace.klass, trace.answer,
                                   trace.why, to_ms(trace.duration), trace.late ? ", late" : "");
    for (const Span& span : trace.spans) {
        text += fmt::format("  {:.1f} ms: to {}, {} at {:.1f} ms\n", to_ms(span.start), span.endpoint,
                            span.outcome, to_ms(span.end));
    }
    return text;
}

std::string Collector::trace(const std::string& id) const {
    const RequestTrace* found = sampler_.find(id);
    return found ? format_trace(*found) : std::string();
}

std::string Collector::slowest(std::size_t max_count, const std::string& klass) const {
    std::vector<const RequestTrace*> all;
    sampler_.each([&](const RequestTrace& trace, TailSampler::Reason) {
        if (klass.empty() || trace.klass == klass) all.push_back(&trace);
        return true;
    });
    max_count = std::min(max_count, all.size());
    std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(max_count), all.end(),
                      [](const RequestTrace* a, const RequestTrace* b) { return a->duration > b->duration; });
    std::string text;
    for (std::size_t i = 0; i < max_count; ++i) text += format_trace(*all[i]);
    return text.empty() ? "none is kept\n" : text;
}

std::string Collector::latencies() const {
    std::string text;
    for (std::size_t i = 0; i < latencies_.size(); ++i) {
        const QuantileSketch& each = latencies_[i];
        text += fmt::format("{}: {} served, p50 {:.1f} ms, p90 {:.1f} ms, p99 {:.1f} ms, p99.9 {:.1f} ms\n",
                            settings_.classes[i].name, each.count(), each.quantile(0.5) * 1e3,
                            each.quantile(0.9) * 1e3, each.quantile(0.99) * 1e3, each.quantile(0.999) * 1e3);
    }
    return text;
}

}  // namespace martenford::telemetry
