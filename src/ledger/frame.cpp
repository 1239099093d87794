#include "ledger/frame.h"

#include <utility>

#include "ledger/link.pb.h"

namespace martenford::ledger {

namespace {

using framing::decode_message;
using framing::encode_message;

void fill(link::Record& to, const Record& from) {
    to.set_sequence(from.sequence);
    to.set_serial(from.serial);
    to.set_wall_ms(from.wall_ms);
    to.set_mono_ns(from.mono_ns);
    to.set_urgent(from.urgent);
    struct Visitor {
        link::Record& to;
        void operator()(const Intent& from) const {
            auto& intent = *to.mutable_intent();
            intent.set_attempt(from.attempt);
            intent.set_id(from.id);
            intent.set_klass(from.klass);
            intent.set_key(from.key);
            intent.set_digest(from.digest);
            intent.set_uid(from.uid);
            intent.set_address(from.address);
        }
        void operator()(const Written& from) const { to.mutable_written()->set_attempt(from.attempt); }
        void operator()(const Ended& from) const {
            to.mutable_ended()->set_attempt(from.attempt);
            to.mutable_ended()->set_ending(static_cast<std::uint32_t>(from.ending));
        }
        void operator()(const Answered& from) const {
            to.mutable_answered()->set_answer(static_cast<std::uint32_t>(from.answer));
        }
        void operator()(const Gap& from) const {
            auto& gap = *to.mutable_gap();
            gap.set_from_ms(from.from_ms);
            gap.set_requests(from.requests);
            gap.set_reason(from.reason);
        }
    };
    std::visit(Visitor{to}, from.payload);
}

Record read_record(const link::Record& from) {
    Record record{from.sequence(), from.serial(), from.wall_ms(), from.mono_ns(), from.urgent(), {}};
    switch (from.what_case()) {
        case link::Record::kIntent:
            record.payload = Intent{from.intent().attempt(), from.intent().id(),     from.intent().klass(),
                                    from.intent().key(),     from.intent().digest(), from.intent().uid(),
                                    from.intent().address()};
            return record;
        case link::Record::kWritten:
            record.payload = Written{from.written().attempt()};
            return record;
        case link::Record::kEnded:
            if (from.ended().ending() >= kEndingCount)
                throw FrameError("a record has an ending that is none");
            record.payload = Ended{from.ended().attempt(), static_cast<Ending>(from.ended().ending())};
            return record;
        case link::Record::kAnswered:
            if (from.answered().answer() >= kFinalAnswerCount)
                throw FrameError("a record has an answer that is none");
            record.payload = Answered{static_cast<FinalAnswer>(from.answered().answer())};
            return record;
        case link::Record::kGap:
            record.payload = Gap{from.gap().from_ms(), from.gap().requests(), from.gap().reason()};
            return record;
        case link::Record::WHAT_NOT_SET:
            break;
    }
    throw FrameError("a record says nothing");
}

}  // namespace

std::string frame_of(const ToWriter& message) {
    link::ToWriter out;
    if (const auto* hello = std::get_if<Hello>(&message)) {
        out.mutable_hello()->set_version(hello->version);
        out.mutable_hello()->set_boot(hello->boot);
        out.mutable_hello()->set_name(hello->name);
        out.mutable_hello()->set_started_ms(hello->started_ms);
    } else {
        fill(*out.mutable_record(), std::get<Record>(message));
    }
    return encode_message(out);
}

std::string frame_of(const FromWriter& message) {
    link::FromWriter out;
    if (const auto* ready = std::get_if<Ready>(&message)) {
        out.mutable_ready()->set_version(ready->version);
    } else if (const auto* ack = std::get_if<Ack>(&message)) {
        out.mutable_ack()->set_up_to(ack->up_to);
    } else {
        out.mutable_trouble()->set_what(std::get<Trouble>(message).what);
    }
    return encode_message(out);
}

ToWriter read_to_writer(std::string_view message) {
    const auto in = decode_message<link::ToWriter>(message);
    if (in.has_hello()) {
        const auto& hello = in.hello();
        return Hello{hello.version(), hello.boot(), hello.name(), hello.started_ms()};
    }
    if (in.has_record()) return read_record(in.record());
    throw FrameError("a message says nothing");
}

FromWriter read_from_writer(std::string_view message) {
    const auto in = decode_message<link::FromWriter>(message);
    if (in.has_ready()) return Ready{in.ready().version()};
    if (in.has_ack()) return Ack{in.ack().up_to()};
    if (in.has_trouble()) return Trouble{in.trouble().what()};
    throw FrameError("a message says nothing");
}

}  // namespace martenford::ledger
