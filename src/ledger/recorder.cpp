#include "ledger/recorder.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "core/events.h"
#include "core/wall_clock.h"

namespace martenford::ledger {

using decision::RequestId;
using decision::Status;

namespace {

/// A complete write is recorded only after this delay; most attempts have ended by then and need no such
/// record.
constexpr Duration kWrittenDelay = 20ms;

Ending ending_of(Status status) {
    switch (status) {
        case Status::Ok:
            return Ending::Served;
        case Status::Error:
            return Ending::Error;
        case Status::Rejected:
            return Ending::Full;
        case Status::Timeout:
            return Ending::Timeout;
        case Status::ConnectFailed:
            return Ending::ConnectFailed;
        case Status::Reset:
            return Ending::Reset;
        case Status::Cancelled:
            return Ending::Cancelled;
        case Status::NotSent:
            return Ending::NotSent;
    }
    return Ending::Open;
}

FinalAnswer final_answer_of(Answer::Kind kind) {
    switch (kind) {
        case Answer::Kind::Served:
            return FinalAnswer::Served;
        case Answer::Kind::Refused:
            return FinalAnswer::Refused;
        case Answer::Kind::Failed:
            return FinalAnswer::Failed;
    }
    return FinalAnswer::None;
}

}  // namespace

/// An attempt whose intent is not durable yet. Once it is, this forwards to the attempt of the endpoint
/// client.
class Recorder::HeldAttempt : public EndpointClient::Attempt,
                              public std::enable_shared_from_this<HeldAttempt> {
  public:
    HeldAttempt(Recorder& recorder, EndpointId id, std::shared_ptr<const Message> message, Time end,
                Done done, std::uint32_t attempt, bool refuse_on_outage)
        : refuse_on_outage(refuse_on_outage),
          recorder_(recorder),
          endpoint_(id),
          message_(std::move(message)),
          end_(end),
          done_(std::move(done)),
          attempt_(attempt),
          timeout_(recorder.scheduler_) {
        set_timeout();
    }
    const bool refuse_on_outage;  ///< whether the class refuses requests during a journal outage

    bool is_waiting() const { return static_cast<bool>(done_); }
    /// Called when the intent is durable or need not be.
    void release() {
        if (!is_waiting()) return;
        timeout_.cancel();
        // The endpoint's time starts now. Otherwise the module would take a slow disk for slow endpoints.
        const auto self = shared_from_this();
        recorder_.release_(RequestId(message_->id()));
        if (!is_waiting()) return;
        // The endpoint client's attempt keeps this object alive until it ends: the engine reaches the attempt
        // through it.
        Done done = [self, done = std::exchange(done_, nullptr)](Result&& result) {
            done(std::move(result));
        };
        inner_ =
            recorder_.forward(endpoint_, std::exchange(message_, nullptr), end_, std::move(done), attempt_);
    }
    /// Called when the intent cannot be made durable in time.
    void withhold() {
        if (!is_waiting()) return;
        const RequestId id(message_->id());
        const auto self = shared_from_this();
        recorder_.withhold(id);  // completes the request, which withdraws this attempt
        end(Ending::Withheld, Status::NotSent);
    }
    void cancel() override {
        if (is_waiting()) return end(Ending::NotSent, Status::Cancelled);
        if (const auto inner = inner_.lock()) inner->cancel();
    }
    void withdraw_if_unsent() override {
        if (is_waiting()) return end(Ending::Withheld, Status::NotSent);
        if (const auto inner = inner_.lock()) inner->withdraw_if_unsent();
    }
    void set_deadline(Time end) override {
        end_ = end;
        if (is_waiting()) return set_timeout();
        if (const auto inner = inner_.lock()) inner->set_deadline(end);
    }

  private:
    void set_timeout() {
        timeout_.set(std::min(end_, recorder_.scheduler_.now() + recorder_.options_.hold_timeout),
                     [this] { withhold(); });
    }
    void end(Ending ending, Status status) {
        if (!is_waiting()) return;
        timeout_.cancel();
        const auto self = shared_from_this();
        const auto done = std::exchange(done_, nullptr);
        recorder_.ended(RequestId(message_->id()), attempt_, ending);
        message_.reset();
        Result result;
        result.status = status;
        done(std::move(result));
    }

    Recorder& recorder_;
    EndpointId endpoint_;
    std::shared_ptr<const Message> message_;
    Time end_;
    Done done_;
    std::uint32_t attempt_;
    Timer timeout_;
    Handle inner_;
};

Recorder::Recorder(Scheduler& scheduler, EndpointClient& endpoint_client, EndpointTable& endpoint_table,
                   WriterLink& link, const Options& options,
                   const std::vector<decision::RequestClass>& classes, Counters& counters)
    : scheduler_(scheduler),
      endpoint_client_(endpoint_client),
      endpoint_table_(endpoint_table),
      link_(link),
      options_(options),
      written_timer_(scheduler),
      held_count_(counters.counter("ledger.held", "attempts that waited for their intent to be durable")),
      refused_(
          counters.counter("ledger.refused", "requests refused because the journal could not record them")),
      unjournaled_(counters.counter("ledger.unjournaled",
                                    "attempts sent although the journal could not record them")) {
    for (const auto& each : classes) {
        const auto named = options.classes.find(each.name);
        const bool non_idempotent = each.idempotency == decision::Idempotency::NonIdempotent;
        classes_.push_back(named != options.classes.end() ? named->second
                           : non_idempotent               ? options.non_idempotent
                                                          : ClassOptions{});
        class_names_.push_back(each.name);
    }
    if (!options.key_file.empty()) digest_ = std::make_unique<BodyDigest>(options.key_file);
    endpoint_client_.on_written(
        [this](const Message& message, EndpointId endpoint) { written(message, endpoint); });
    link_.on_change([this] { on_journal_change(); });
}
Recorder::~Recorder() {
    endpoint_client_.on_written(nullptr);
    link_.on_change(nullptr);
}

const ClassOptions& Recorder::options_for(std::uint32_t class_index) const {
    static const ClassOptions kOff{};
    return class_index < classes_.size() ? classes_[class_index] : kOff;
}

bool Recorder::admits(const decision::Request& request) {
    const ClassOptions& options = options_for(request.class_index);
    if (link_.pending().decide(options.level, options.outage) != PendingRecords::SendDecision::Refuse)
        return true;
    refused_.add();
    return false;
}

bool Recorder::holds(const decision::Request& request) {
    const ClassOptions& options = options_for(request.class_index);
    return link_.pending().decide(options.level, options.outage) == PendingRecords::SendDecision::Hold;
}

EndpointClient::Handle Recorder::send(EndpointId id, std::shared_ptr<const Message> message, Time end,
                                      Done done) {
    const ClassOptions& options = options_for(message->class_index);
    if (options.level == Durability::Off)
        return endpoint_client_.send(id, std::move(message), end, std::move(done));
    const RequestId request(message->id());
    RequestState& request_state = state_of(request);
    const std::uint32_t attempt = request_state.attempts++;
    request_state.in_flight.push_back({attempt, id});
    auto send_decision = link_.pending().decide(options.level, options.outage);
    if (send_decision != PendingRecords::SendDecision::Refuse) {
        // Try to record the intent also when the request is sent unjournaled: if there is room, the next
        // writer receives it late rather than never.
        const bool journaled =
            append_intent(request_state, *message, id, attempt, options.level == Durability::Sync);
        request_state.journaled |= journaled;
        if (!journaled) {
            send_decision = options.outage == OutagePolicy::Refuse
                                ? PendingRecords::SendDecision::Refuse
                                : PendingRecords::SendDecision::SendUnjournaled;
        }
    }
    if (send_decision == PendingRecords::SendDecision::Refuse) {
        withhold(request);
        ended(request, attempt, Ending::Withheld);
        Result result;
        result.status = Status::NotSent;
        done(std::move(result));
        return {};
    }
    if (send_decision == PendingRecords::SendDecision::Hold) {
        held_count_.add();
        auto held = std::make_shared<HeldAttempt>(*this, id, std::move(message), end, std::move(done),
                                                  attempt, options.outage == OutagePolicy::Refuse);
        held_.emplace_back(link_.last_sequence(), held);
        return held;
    }
    if (send_decision == PendingRecords::SendDecision::SendUnjournaled) note_unjournaled();
    release_(request);
    return forward(id, message, end, std::move(done), attempt);
}

Recorder::RequestState& Recorder::state_of(const RequestId& id) {
    const auto [it, fresh] = requests_.try_emplace(id);
    if (fresh) it->second.serial = ++serial_;
    return it->second;
}

bool Recorder::append(std::uint64_t serial, bool urgent, decltype(Record::payload) what) {
    return link_.push(
        Record{0, serial, wall_ms(), scheduler_.now().time_since_epoch().count(), urgent, std::move(what)});
}

bool Recorder::append_intent(RequestState& request_state, const Message& message, EndpointId id,
                             std::uint32_t attempt, bool urgent) {
    Intent intent;
    intent.attempt = attempt;
    intent.id = message.id();
    intent.klass = class_names_[message.class_index];
    intent.key = message.key();
    // Only for the first attempt: once a body has begun to go out, it is no longer held here.
    if (digest_ && attempt == 0) intent.digest = digest_->compute(message.buffered_body());
    if (const auto endpoint_info = endpoints_.find(id); endpoint_info != endpoints_.end()) {
        intent.uid = endpoint_info->second.uid;
        intent.address = endpoint_info->second.address;
    }
    return append(request_state.serial, urgent, std::move(intent));
}

EndpointClient::Handle Recorder::forward(EndpointId id, const std::shared_ptr<const Message>& message,
                                         Time end, Done done, std::uint32_t attempt) {
    return endpoint_client_.send(
        id, message, end,
        [this, request = RequestId(message->id()), attempt, done = std::move(done)](Result&& result) {
            ended(request, attempt, ending_of(result.status));
            done(std::move(result));
        });
}

void Recorder::written(const Message& message, EndpointId endpoint) {
    if (options_for(message.class_index).level == Durability::Off) return;
    const auto request_state = requests_.find(RequestId(message.id()));
    if (request_state == requests_.end() || !request_state->second.journaled) return;
    for (const InFlight& sent : request_state->second.in_flight) {
        if (sent.endpoint == endpoint) {
            if (written_.empty())
                written_timer_.set(scheduler_.now() + kWrittenDelay, [this] { append_written(); });
            written_.push_back({RequestId(message.id()), sent.attempt, wall_ms()});
            return;
        }
    }
}

/// Only for attempts that have not ended since: an ending makes a separate record unnecessary.
void Recorder::append_written() {
    for (const auto& [id, attempt, at] : std::exchange(written_, {})) {
        const auto request_state = requests_.find(id);
        if (request_state == requests_.end()) continue;
        const auto& in_flight = request_state->second.in_flight;
        const bool still_in_flight =
            std::any_of(in_flight.begin(), in_flight.end(),
                        [&](const InFlight& sent) { return sent.attempt == attempt; });
        if (still_in_flight) {
            link_.push(Record{0, request_state->second.serial, at,
                              scheduler_.now().time_since_epoch().count(), false, Written{attempt}});
        }
    }
}

void Recorder::ended(const RequestId& id, std::uint32_t attempt, Ending ending) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    RequestState& request_state = it->second;
    std::erase_if(request_state.in_flight, [&](const InFlight& sent) { return sent.attempt == attempt; });
    request_state.may_have_run |= effect_of(ending) != Effect::NeverRan;
    if (request_state.journaled) append(request_state.serial, false, Ended{attempt, ending});
    erase_if_finished(id);
}

void Recorder::withhold(const RequestId& id) {
    refused_.add();
    const auto request_state = requests_.find(id);
    if (give_up_) give_up_(id, request_state == requests_.end() || !request_state->second.may_have_run);
}

std::function<void()> Recorder::completed(const RequestId& id, Answer::Kind kind) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return {};
    it->second.complete = true;
    const std::uint64_t serial = it->second.serial;
    const bool journaled = it->second.journaled;
    erase_if_finished(id);
    if (!journaled) return {};
    return [this, serial, answer = final_answer_of(kind)] { append(serial, false, Answered{answer}); };
}

void Recorder::client_disconnected(const RequestId& id) {
    const auto it = requests_.find(id);
    if (it != requests_.end() && it->second.journaled)
        append(it->second.serial, false, Answered{FinalAnswer::ClientLeft});
}

void Recorder::erase_if_finished(const RequestId& id) {
    const auto it = requests_.find(id);
    if (it != requests_.end() && it->second.complete && it->second.in_flight.empty()) requests_.erase(it);
}

/// Logs one line when this begins, and counts every case.
void Recorder::note_unjournaled() {
    unjournaled_.add();
    if (gap_.requests++ == 0) {
        gap_.from_ms = wall_ms();
        gap_.reason = link_.pending().reason();
    }
    if (!std::exchange(unjournaled_logged_, true)) {
        martenford::log_event(Event::JournalBypassed,
                              "non-idempotent requests go out unjournaled: " + link_.pending().reason());
    }
}

void Recorder::on_journal_change() {
    const PendingRecords& pending = link_.pending();
    std::erase_if(held_, [](const auto& each) { return !each.second->is_waiting(); });
    while (!held_.empty() && held_.front().first <= pending.acknowledged_up_to()) {
        const auto held = std::move(held_.front().second);
        held_.pop_front();
        held->release();
    }
    if (pending.health() == PendingRecords::Health::Up) return close_gap();
    // Nothing can be made durable now. A writer that is restarted at once may still be in time.
    auto waiting = std::exchange(held_, {});
    for (auto& [sequence, held] : waiting) {
        if (pending.decide(Durability::Sync, OutagePolicy::Refuse) == PendingRecords::SendDecision::Hold) {
            held_.emplace_back(sequence, std::move(held));
        } else if (held->refuse_on_outage) {
            held->withhold();
        } else {
            note_unjournaled();
            held->release();
        }
    }
}

void Recorder::close_gap() {
    unjournaled_logged_ = false;
    if (gap_.requests > 0 && append(0, false, gap_)) gap_ = {};
}

// ---- endpoint names and addresses -------------------------------------------------------------------

void Recorder::set_name(EndpointId id, const std::string& uid) {
    endpoints_[id].uid = uid;
}

void Recorder::set_endpoint(EndpointId id, const Address& address, bool ready) {
    std::ostringstream text;
    text << address;
    endpoints_[id].address = text.str();
    endpoint_table_.set_endpoint(id, address, ready);
}

void Recorder::remove(EndpointId id) {
    endpoints_.erase(id);
    endpoint_table_.remove(id);
}

}  // namespace martenford::ledger
