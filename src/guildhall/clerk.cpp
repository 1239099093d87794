#include "guildhall/clerk.h"

#include <utility>

namespace martenford::guildhall {

using charter::Json;

namespace {
constexpr Duration kLongest = 4s;          // a call that is undecided for so long gets no clear answer
constexpr std::size_t kMostJobs = 64;      // calls that wait
constexpr std::size_t kMostHistory = 500;  // versions that a resent call is known by
constexpr Duration kComeBack = 300ms;

calls::Response refusal(unsigned status, const std::string& why) {
    return {status, Json{{"error", why}}.dump()};
}
}  // namespace

const passage::Word& Clerk::word() {
    const moot::Entry& committed = moot_.disk().committed;
    if (committed.stamp != word_stamp_) {
        // A new term's entry most often has the value that was there.
        if (auto read = passage::decode_word(committed.value)) word_ = std::move(*read);
        word_stamp_ = committed.stamp;
    }
    return word_;
}

calls::Response Clerk::elsewhere(Time now) const {
    const auto leader = moot_.leader();
    if (leader && moot_.role() != moot::Moot::Role::Leader && moot_.in_touch(now, 1s) && control_of) {
        return {307, "", control_of(*leader)};
    }
    return {503, R"({"error":"no leader is known"})", "", kComeBack};
}

void Clerk::change(Time now, const std::string& body, bool whole, calls::Respond respond) {
    if (!moot_.leads(now)) {
        auto answer = elsewhere(now);
        if (answer.status == 307)
            answer.location += whole ? "/v1/configuration/replace" : "/v1/configuration/modify";
        return respond(std::move(answer));
    }
    if (jobs_.size() >= kMostJobs) return respond({503, R"({"error":"too many calls wait"})", "", kComeBack});
    jobs_.push_back({body, whole, false, std::move(respond), now + kLongest, {}, {}, {}, 0});
    settle(now);
}

void Clerk::read(Time now, calls::Respond respond) {
    if (!moot_.leads(now)) {
        auto answer = elsewhere(now);
        if (answer.status == 307) answer.location += "/v1/configuration/read";
        return respond(std::move(answer));
    }
    if (jobs_.size() >= kMostJobs) return respond({503, R"({"error":"too many calls wait"})", "", kComeBack});
    jobs_.push_back({"", false, true, std::move(respond), now + kLongest, {}, {}, {}, 0});
    settle(now);
}

void Clerk::answer_when_confirmed(Time now, Job& job, calls::Response answer) {
    job.answer = std::move(answer);
    job.confirmation = moot_.ask_confirmation(now);
}

/// What depends on which version is current is answered only once a majority has said that we still lead.
void Clerk::decide(Time now, Job& job) {
    const passage::Word& held = word();
    if (job.reads) {
        if (held.version == 0)
            return answer_when_confirmed(now, job, refusal(404, "no configuration has been taken yet"));
        return answer_when_confirmed(now, job, {200, held.document});
    }
    const auto done = [&](calls::Response answer, const std::string& why) {
        if (on_decided) on_decided(false, job.version, why);
        answer_when_confirmed(now, job, std::move(answer));
    };
    const Json change = Json::parse(job.body, nullptr, false);
    if (change.is_discarded() || !change.is_object())
        return done(refusal(400, "the body is no JSON object"), "no JSON");
    const auto text = [&](const char* field) {
        const auto it = change.find(field);
        return it != change.end() && it->is_string() ? charter::parse_version(it->get<std::string>())
                                                     : std::nullopt;
    };
    const auto version = text("version");
    if (!version) return done(refusal(400, "version: eight hexadecimal digits are wanted"), "version");
    job.version = *version;
    const std::uint64_t digest = charter::digest(job.body, job.whole ? 1 : 2);
    for (const auto& taken : held.history) {
        if (taken.version == *version && taken.digest == digest)
            return answer_when_confirmed(now, job, {200, "{}"});
    }
    std::uint32_t base = 0;
    if (change.contains("base_version")) {
        const auto named = text("base_version");
        if (named) {
            base = *named;
        } else if (change["base_version"] != 0) {
            return done(refusal(400, "base_version: eight hexadecimal digits are wanted"), "base_version");
        }
    }
    if (base != held.version) {
        return done(refusal(412, "version " + charter::text_of(held.version) + " is in place"),
                    "another version is in place");
    }
    if (*version <= held.version) {
        return done(refusal(400, "version is not above " + charter::text_of(held.version)),
                    "its version is not above");
    }
    std::variant<Json, charter::Problem> whole = change;
    if (!job.whole) {
        const Json document =
            held.document.empty() ? Json::object() : Json::parse(held.document, nullptr, false);
        whole = charter::modified(document, change);
    }
    if (const auto* problem = std::get_if<charter::Problem>(&whole))
        return done(refusal(400, problem->text()), problem->text());
    const Json& document = std::get<Json>(whole);
    const auto config = charter::read_config(document);
    if (const auto* problem = std::get_if<charter::Problem>(&config))
        return done(refusal(400, problem->text()), problem->text());
    passage::Word next{*version, document.dump(), held.history};
    next.history.push_back({*version, digest});
    if (next.history.size() > kMostHistory) next.history.erase(next.history.begin());
    job.proposed = moot_.propose(now, passage::encode(next));
}

void Clerk::settle(Time now) {
    while (!jobs_.empty()) {
        Job& job = jobs_.front();
        std::optional<calls::Response> answer;
        if (job.proposed) {
            // Committed in the term in which it was proposed, or never by us: then nothing clear can be said.
            if (!moot_.still_possible(*job.proposed)) {
                answer = calls::Response{503, R"({"error":"the lead was lost; it may be in force or not"})",
                                         "", kComeBack};
            } else if (moot_.is_durable(*job.proposed)) {
                if (on_decided) on_decided(true, job.version, "");
                answer = calls::Response{200, "{}"};
            }
        } else if (job.confirmation) {
            if (moot_.is_confirmed(*job.confirmation)) answer = std::move(job.answer);
        }
        if (!answer && !job.proposed && !moot_.leads(now)) {
            answer = elsewhere(now);
            if (answer->status == 307)
                answer->location += job.reads   ? "/v1/configuration/read"
                                    : job.whole ? "/v1/configuration/replace"
                                                : "/v1/configuration/modify";
        }
        if (!answer && now >= job.until)
            answer = calls::Response{503, R"({"error":"undecided"})", "", kComeBack};
        if (!answer && !job.proposed && !job.confirmation) {
            decide(now, job);
            if (job.proposed || job.confirmation) continue;
        }
        if (!answer) return;
        const auto respond = std::move(job.respond);
        jobs_.pop_front();
        respond(std::move(*answer));
    }
}

}  // namespace martenford::guildhall
