// The log of proxy and controller: numbered events, one line each on standard error:
//
//   LEVEL program CODE text key=value ...
//
// Every event is declared in event_catalogue(); docs/operate/mesh-events.md is made from it with
// `martenford-proxy --events`. All functions are called on one thread.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace martenford::event_log {

enum class Event : std::uint8_t {
    Started,
    Stopping,
    BadSettings,
    Stopped,
    AnswersCut,
    StartDelayed,
    LogLinesLost,
    ReloadRejected,
    ConfigAccepted,
    ConfigRejected,
    ConfigApplied,
    LeadershipGained,
    LeadershipLost,
    VotersChanged,
    VoteTransferred,
    VoteKept,
    FaultToleranceNotMet,
    FirstStartRepaired,
    VotersUnknown,
    StorageFailed,
    StorageDamaged,
    NewMember,
    EndpointSeen,
    EndpointDraining,
    EndpointGone,
    ProxyLeaseExpired,
    QuorumContactLost,
    QuorumContactRestored,
    NoConfig,
    RequestTotals,
    AnswerWithheld
};

enum class Severity : std::uint8_t { Info, Warning, Error };

struct EventDescription {
    Event event;
    const char* code;         ///< "MG101"; never changes and is never used for another meaning
    const char* name;         ///< "program.started"
    const char* former_name;  ///< the name until 2026-12-02; nullptr if it is the same
    Severity severity;
    unsigned max_per_minute;  ///< lines; further ones are counted, and the next line says how many
    const char* meaning;      ///< one sentence or two, for the operator
};

/// All events in the order of their codes.
const std::vector<EventDescription>& event_catalogue();

/// The catalogue as a Markdown table.
[[nodiscard]] std::string catalogue_page();

/// Opens the log. Called once, before the first log_event(); `program` is the name in each line.
void open(const std::string& program);

/// Writes one line, without waiting: a line that standard error does not take at once is lost and counted
/// (Event::LogLinesLost). Does nothing before open(), or if the event has had max_per_minute lines in the
/// present minute; the event's next line then ends with "suppressed=<count>".
void log_event(Event event, const std::string& text,
               std::initializer_list<std::pair<std::string_view, std::string>> fields = {});

}  // namespace martenford::event_log
