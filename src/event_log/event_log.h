// What the mesh's programs tell people: numbered events on log4cplus. The one table that
// docs/operate/mesh-events.md is made of.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace martenford::event_log {

enum class Event {
    Started,
    Stopping,
    BadSettings,
    ConfigAccepted,
    ConfigRejected,
    ConfigApplied,
    LeadershipGained,
    LeadershipLost,
    VotersChanged,
    VoteTransferred,
    VoteKept,
    FaultToleranceNotMet,
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
    RequestTotals
};

enum class Severity { Info, Warning, Error };

struct EventDescription {
    Event event;
    const char* code;  ///< "MG101": stays with its meaning for good
    const char* name;
    Severity severity;
    unsigned
        max_per_minute;  ///< lines a minute; what comes more often is counted and told of with the next one
    const char* meaning;
};
const std::vector<EventDescription>& event_catalogue();
/// The table as a page.
std::string catalogue_page();

/// To standard error; called once, before ring().
void open(const std::string& program);
void log_event(Event event, const std::string& text,
               std::initializer_list<std::pair<std::string_view, std::string>> fields = {});

}  // namespace martenford::event_log
