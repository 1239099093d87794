// What the mesh's programs tell people: numbered events on log4cplus. The one table that
// docs/operate/mesh-events.md is made of.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace martenford::bell {

enum class Event {
    Started,
    Stopping,
    BadSettings,
    CharterTaken,
    CharterRefused,
    CharterServed,
    Leads,
    LeadLost,
    MembersChanged,
    PlaceGiven,
    PlaceKept,
    LossesNotBorne,
    DiskTrouble,
    DiskDamaged,
    FreshMember,
    EndpointSeen,
    EndpointLeaves,
    EndpointGone,
    StallSilent,
    OutOfTouch,
    BackInTouch,
    NoCharter,
    Answers
};

enum class Weight { Info, Warning, Error };

struct Kind {
    Event event;
    const char* code;  ///< "MG101": stays with its meaning for good
    const char* name;
    Weight weight;
    unsigned most;  ///< lines a minute; what comes more often is counted and told of with the next one
    const char* meaning;
};
const std::vector<Kind>& kinds();
/// The table as a page.
std::string page();

/// To standard error; called once, before ring().
void open(const std::string& program);
void ring(Event event, const std::string& text,
          std::initializer_list<std::pair<std::string_view, std::string>> fields = {});

}  // namespace martenford::bell
