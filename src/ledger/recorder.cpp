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

/// That an attempt was written whole is told so late: most have ended by then.
constexpr Duration kWrittenAfter = 20ms;

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

Final final_of(Answer::Kind kind) {
    switch (kind) {
        case Answer::Kind::Served:
            return Final::Served;
        case Answer::Kind::Refused:
            return Final::Refused;
        case Answer::Kind::Failed:
            return Final::Failed;
    }
    return Final::None;
}

}  // namespace

/// An attempt whose intent is not durable yet, and what it is once it is: the back's own.
class Recorder::Held : public Back::Attempt, public std::enable_shared_from_this<Held> {
  public:
    Held(Recorder& recorder, EndpointId id, std::shared_ptr<const Message> message, Time end, Done done,
         std::uint32_t attempt, bool refuses)
        : refuses(refuses),
          recorder_(recorder),
          endpoint_(id),
          message_(std::move(message)),
          end_(end),
          done_(std::move(done)),
          attempt_(attempt),
          limit_(recorder.scheduler_) {
        set_limit();
    }
    const bool refuses;  ///< where the journal keeps nothing

    bool waits() const { return static_cast<bool>(done_); }
    /// The intent is durable, or need not be.
    void go() {
        if (!waits()) return;
        limit_.cancel();
        // Its time at the endpoint begins. Guards against a slow disk that the module takes for slow
        // endpoints.
        const auto self = shared_from_this();
        recorder_.release_(RequestId(message_->id()));
        if (!waits()) return;
        // Held by the back's attempt until that ends: the engine reaches it through here.
        Done done = [self, done = std::exchange(done_, nullptr)](Result&& result) {
            done(std::move(result));
        };
        inner_ =
            recorder_.pass_on(endpoint_, std::exchange(message_, nullptr), end_, std::move(done), attempt_);
    }
    /// It can't be made durable in time.
    void withhold() {
        if (!waits()) return;
        const RequestId id(message_->id());
        const auto self = shared_from_this();
        recorder_.withhold(id);  // completes the request, and so withdraws this attempt
        end(Ending::Withheld, Status::NotSent);
    }
    void cancel() override {
        if (waits()) return end(Ending::NotSent, Status::Cancelled);
        if (const auto inner = inner_.lock()) inner->cancel();
    }
    void withdraw_unwritten() override {
        if (waits()) return end(Ending::Withheld, Status::NotSent);
        if (const auto inner = inner_.lock()) inner->withdraw_unwritten();
    }
    void end_at(Time end) override {
        end_ = end;
        if (waits()) return set_limit();
        if (const auto inner = inner_.lock()) inner->end_at(end);
    }

  private:
    void set_limit() {
        limit_.set(std::min(end_, recorder_.scheduler_.now() + recorder_.options_.hold),
                   [this] { withhold(); });
    }
    void end(Ending ending, Status status) {
        if (!waits()) return;
        limit_.cancel();
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
    Timer limit_;
    Handle inner_;
};

Recorder::Recorder(Scheduler& scheduler, Back& back, Placement& placement, WriterLink& link,
                   const Options& options, const std::vector<decision::RequestClass>& classes,
                   Counters& counters)
    : scheduler_(scheduler),
      back_(back),
      placement_(placement),
      link_(link),
      options_(options),
      tell_written_(scheduler),
      held_count_(counters.counter("ledger.held", "attempts that waited for their intent to be durable")),
      refused_(counters.counter("ledger.refused", "requests refused since the journal could not take them")),
      unkept_(
          counters.counter("ledger.unjournaled", "attempts sent although the journal could not take them")) {
    for (const auto& each : classes) {
        const auto named = options.classes.find(each.name);
        const bool unsafe = each.idempotency == decision::Idempotency::NonIdempotent;
        classes_.push_back(named != options.classes.end() ? named->second
                           : unsafe                       ? options.unsafe
                                                          : ClassOptions{});
        class_names_.push_back(each.name);
    }
    if (!options.key_file.empty()) digest_ = std::make_unique<Digest>(options.key_file);
    back_.on_written([this](const Message& message, EndpointId endpoint) { written(message, endpoint); });
    link_.on_change([this] { journal_changed(); });
}
Recorder::~Recorder() {
    back_.on_written(nullptr);
    link_.on_change(nullptr);
}

const ClassOptions& Recorder::of(std::uint32_t class_index) const {
    static const ClassOptions kOff{};
    return class_index < classes_.size() ? classes_[class_index] : kOff;
}

bool Recorder::admits(const decision::Request& request) {
    const ClassOptions& options = of(request.class_index);
    if (link_.outbox().decide(options.level, options.outage) != Outbox::Verdict::Refuse) return true;
    refused_.add();
    return false;
}

bool Recorder::holds(const decision::Request& request) {
    const ClassOptions& options = of(request.class_index);
    return link_.outbox().decide(options.level, options.outage) == Outbox::Verdict::Hold;
}

Back::Handle Recorder::send(EndpointId id, std::shared_ptr<const Message> message, Time end, Done done) {
    const ClassOptions& options = of(message->class_index);
    if (options.level == Level::Off) return back_.send(id, std::move(message), end, std::move(done));
    const RequestId request(message->id());
    Call& call = call_of(request);
    const std::uint32_t attempt = call.attempts++;
    call.out.push_back({attempt, id});
    auto verdict = link_.outbox().decide(options.level, options.outage);
    if (verdict != Outbox::Verdict::Refuse) {
        // Late is better than never: where it goes out unjournaled and there is room, the next writer is
        // told.
        const bool told = intend(call, *message, id, attempt, options.level == Level::Sync);
        call.told |= told;
        if (!told) {
            verdict =
                options.outage == Outage::Refuse ? Outbox::Verdict::Refuse : Outbox::Verdict::GoUnjournaled;
        }
    }
    if (verdict == Outbox::Verdict::Refuse) {
        withhold(request);
        ended(request, attempt, Ending::Withheld);
        Result result;
        result.status = Status::NotSent;
        done(std::move(result));
        return {};
    }
    if (verdict == Outbox::Verdict::Hold) {
        held_count_.add();
        auto held = std::make_shared<Held>(*this, id, std::move(message), end, std::move(done), attempt,
                                           options.outage == Outage::Refuse);
        held_.emplace_back(link_.last_sequence(), held);
        return held;
    }
    if (verdict == Outbox::Verdict::GoUnjournaled) went_unkept();
    release_(request);
    return pass_on(id, message, end, std::move(done), attempt);
}

Recorder::Call& Recorder::call_of(const RequestId& id) {
    const auto [it, fresh] = calls_.try_emplace(id);
    if (fresh) it->second.serial = ++serial_;
    return it->second;
}

bool Recorder::tell(std::uint64_t serial, bool urgent, decltype(Record::what) what) {
    return link_.put(
        Record{0, serial, wall_ms(), scheduler_.now().time_since_epoch().count(), urgent, std::move(what)});
}

bool Recorder::intend(Call& call, const Message& message, EndpointId id, std::uint32_t attempt, bool urgent) {
    Intent intent;
    intent.attempt = attempt;
    intent.id = message.id();
    intent.klass = class_names_[message.class_index];
    intent.key = message.key();
    // Only the first: a body that has begun to go out is no longer held here.
    if (digest_ && attempt == 0) intent.digest = digest_->of(message.held_body());
    if (const auto node = nodes_.find(id); node != nodes_.end()) {
        intent.uid = node->second.uid;
        intent.address = node->second.address;
    }
    return tell(call.serial, urgent, std::move(intent));
}

Back::Handle Recorder::pass_on(EndpointId id, const std::shared_ptr<const Message>& message, Time end,
                               Done done, std::uint32_t attempt) {
    return back_.send(
        id, message, end,
        [this, request = RequestId(message->id()), attempt, done = std::move(done)](Result&& result) {
            ended(request, attempt, ending_of(result.status));
            done(std::move(result));
        });
}

void Recorder::written(const Message& message, EndpointId endpoint) {
    if (of(message.class_index).level == Level::Off) return;
    const auto call = calls_.find(RequestId(message.id()));
    if (call == calls_.end() || !call->second.told) return;
    for (const Out& out : call->second.out) {
        if (out.endpoint == endpoint) {
            if (written_.empty())
                tell_written_.set(scheduler_.now() + kWrittenAfter, [this] { tell_written(); });
            written_.push_back({RequestId(message.id()), out.attempt, wall_ms()});
            return;
        }
    }
}

/// Of those that have not ended since: what an ending tells needs no telling twice.
void Recorder::tell_written() {
    for (const auto& [id, attempt, at] : std::exchange(written_, {})) {
        const auto call = calls_.find(id);
        if (call == calls_.end()) continue;
        const auto& out = call->second.out;
        const bool still =
            std::any_of(out.begin(), out.end(), [&](const Out& o) { return o.attempt == attempt; });
        if (still) {
            link_.put(Record{0, call->second.serial, at, scheduler_.now().time_since_epoch().count(), false,
                             Written{attempt}});
        }
    }
}

void Recorder::ended(const RequestId& id, std::uint32_t attempt, Ending ending) {
    const auto it = calls_.find(id);
    if (it == calls_.end()) return;
    Call& call = it->second;
    std::erase_if(call.out, [&](const Out& out) { return out.attempt == attempt; });
    call.may_have_run |= effect_of(ending) != Effect::NeverRan;
    if (call.told) tell(call.serial, false, Ended{attempt, ending});
    forget_if_over(id);
}

void Recorder::withhold(const RequestId& id) {
    refused_.add();
    const auto call = calls_.find(id);
    if (give_up_) give_up_(id, call == calls_.end() || !call->second.may_have_run);
}

std::function<void()> Recorder::completed(const RequestId& id, Answer::Kind kind) {
    const auto it = calls_.find(id);
    if (it == calls_.end()) return {};
    it->second.complete = true;
    const std::uint64_t serial = it->second.serial;
    const bool told = it->second.told;
    forget_if_over(id);
    if (!told) return {};
    return [this, serial, answer = final_of(kind)] { tell(serial, false, Answered{answer}); };
}

void Recorder::left(const RequestId& id) {
    const auto it = calls_.find(id);
    if (it != calls_.end() && it->second.told) tell(it->second.serial, false, Answered{Final::Left});
}

void Recorder::forget_if_over(const RequestId& id) {
    const auto it = calls_.find(id);
    if (it != calls_.end() && it->second.complete && it->second.out.empty()) calls_.erase(it);
}

/// Loudly: one line where it begins, and the figure.
void Recorder::went_unkept() {
    unkept_.add();
    if (gap_.requests++ == 0) {
        gap_.from_ms = wall_ms();
        gap_.reason = link_.outbox().reason();
    }
    if (!std::exchange(said_unkept_, true)) {
        martenford::tell(Event::JournalUnkept,
                         "requests that must not run twice go out unjournaled: " + link_.outbox().reason());
    }
}

void Recorder::journal_changed() {
    const Outbox& outbox = link_.outbox();
    std::erase_if(held_, [](const auto& each) { return !each.second->waits(); });
    while (!held_.empty() && held_.front().first <= outbox.acked_up_to()) {
        const auto held = std::move(held_.front().second);
        held_.pop_front();
        held->go();
    }
    if (outbox.health() == Outbox::Health::Up) return close_gap();
    // Nothing can be made durable now. A writer that is started again at once may still be in time.
    auto waiting = std::exchange(held_, {});
    for (auto& [sequence, held] : waiting) {
        if (outbox.decide(Level::Sync, Outage::Refuse) == Outbox::Verdict::Hold) {
            held_.emplace_back(sequence, std::move(held));
        } else if (held->refuses) {
            held->withhold();
        } else {
            went_unkept();
            held->go();
        }
    }
}

void Recorder::close_gap() {
    said_unkept_ = false;
    if (gap_.requests > 0 && tell(0, false, gap_)) gap_ = {};
}

// ---- who an endpoint is -----------------------------------------------------------------------------

void Recorder::name(EndpointId id, const std::string& uid) {
    nodes_[id].uid = uid;
}

void Recorder::place(EndpointId id, const Address& address, bool ready) {
    std::ostringstream text;
    text << address;
    nodes_[id].address = text.str();
    placement_.place(id, address, ready);
}

void Recorder::remove(EndpointId id) {
    nodes_.erase(id);
    placement_.remove(id);
}

}  // namespace martenford::ledger
