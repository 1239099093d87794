// The catalogue of events: what operators' alerts rely on, and the page that is made from it.
#include "event_log/event_log.h"

#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <set>
#include <string>

using namespace martenford;

TEST_CASE(
    "event catalogue: codes rise and are unique, names are unique, former names belong to no other event") {
    std::set<std::string> names;
    std::string last_code;
    for (const auto& event : event_log::event_catalogue()) {
        CAPTURE(event.code);
        CHECK(std::string(event.code) > last_code);
        CHECK(std::string(event.code).size() == 5);
        CHECK(names.insert(event.name).second);
        if (event.former_name) CHECK(names.insert(event.former_name).second);
        CHECK(event.max_per_minute > 0);
        last_code = event.code;
    }
}

TEST_CASE("event catalogue: docs/operate/mesh-events.md has the table of this program") {
    std::ifstream file(EVENTS_PAGE, std::ios::binary);
    REQUIRE(file);
    const std::string page((std::istreambuf_iterator<char>(file)), {});
    CHECK(page.ends_with("\n\n" + event_log::catalogue_page()));
}
