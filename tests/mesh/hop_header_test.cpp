// The header of a hop between proxies: what is sent is read back, and what is malformed counts as least.
#include "proxy/hop_header.h"

#include <doctest/doctest.h>

using namespace martenford::proxy;
using namespace std::chrono_literals;

TEST_CASE("hop header: the bytes of the releases before, written and read back") {
    const HopHeader header{"orders-1", HopMode::Queue, true, -7, 250ms, 0xabcdef, 91, 12};
    CHECK(encode(header) == "orders-1;q;r;-7;250;11259375;91;12");
    const auto read = decode_hop_header(encode(header));
    REQUIRE(read);
    CHECK(read->instance_id == "orders-1");
    CHECK(read->mode == HopMode::Queue);
    CHECK(read->idempotent);
    CHECK(read->priority == -7);
    CHECK(read->time == 250ms);
    CHECK(read->kind == 0xabcdef);
    CHECK(read->incarnation == 91);
    CHECK(read->version == 12);
    CHECK(encode({"i", HopMode::DeliveryQuery, false, 0, 3ms, 0, 5, 1}) == "i;a;o;0;3;0;5;1");
    CHECK(encode({}) == ";f;o;0;0;0;0;0");
}

TEST_CASE("hop header: too few parts are none; more than eight are ignored") {
    CHECK_FALSE(decode_hop_header(""));
    CHECK_FALSE(decode_hop_header("x"));
    CHECK_FALSE(decode_hop_header("i;f;r;0;1;2;3"));
    const auto read = decode_hop_header("i;f;r;0;1;2;3;4;5");
    REQUIRE(read);
    CHECK(read->version == 4);
}

TEST_CASE("hop header: an incarnation that is not wholly a number matches no process") {
    CHECK(decode_hop_header("i;a;o;0;1;2;3x;4")->incarnation == 0);
    CHECK(decode_hop_header("i;a;o;0;1;2;;4")->incarnation == 0);
    CHECK(decode_hop_header("i;?;?;x;x;x;3;x")->mode == HopMode::IfSlotFree);
    CHECK_FALSE(decode_hop_header("i;?;?;x;x;x;3;x")->idempotent);
}
