// The adapter's JSON protocol: replies, order of events, and all kinds of malformed lines.
#include <gtest/gtest.h>

#include <sstream>

#include "host.h"

namespace martenford::decision::wire {
namespace {

std::string settings(const std::string& discovery = "automatic") {
    return R"({"replicas_of_me":2,"position":0,"zone":0,"dcs":["z"],"tiers":["a"],"layer":0,"tick":1000000,)"
           R"("discovery":")" +
           discovery +
           R"(","weights":"none","load_report":{"names":[],"via":"none"},"accounts":[],"unknown":[1,{}],)"
           R"("classes":[{"name":"c","credit":1,"slo":1000000000,"deadline":2000000000,"effect":"free"}],)"
           R"("limits":{"try_limit":3,"may_cancel":true},)"
           R"("invariants":{"answer_slack":20000000,"ask_every":10000000000,"cold_from":0.3,)"
           R"("fall_multiple":3.0,"ramp_time":5000000000,"stop_sending_within":500000000,)"
           R"("tip_after":2000000000}})";
}
std::string provision(int id = 0, const std::string& discovery = "automatic") {
    return R"({"t":"provision","sidecar_id":)" + std::to_string(id) + R"(,"prng":7,"settings":)" +
           settings(discovery) + "}";
}
/// A provision message with a part of its settings replaced.
std::string provision_with(const std::string& old_text, const std::string& new_text) {
    std::string text = provision();
    return text.replace(text.find(old_text), old_text.size(), new_text);
}
std::string ledger(int ref, int endpoint) {
    return R"({"t":"ledger","ref":)" + std::to_string(ref) + R"(,"members_list":[{"endpoint":)" +
           std::to_string(endpoint) +
           R"(,"locality":0,"class_of_host":0,"pack":0,"availability":1,"nominal":1,"online_since":null}]})";
}
std::string peers_known(int ref, int kind = 1, int id = 0) {
    return R"({"t":"peers_known","sidecar_id":)" + std::to_string(id) + R"(,"ref":)" + std::to_string(ref) +
           R"(,"serial":1,"kind":)" + std::to_string(kind) + "}";
}
std::string ingress(const std::string& request, int id = 0) {
    return R"({"t":"ingress","sidecar_id":)" + std::to_string(id) + R"(,"request_id":")" + request +
           R"(","priority":0,"valid_until":2000000000,"mutates":false,"party":null,"resent":false,"extra":1})";
}
std::string batch(int round, const std::string& events, long clock = 1000) {
    return R"({"clock":)" + std::to_string(clock) + R"(,"round":)" + std::to_string(round) +
           R"(,"events":[)" + events + "]}";
}

TEST(Adapter, EmptyBatchGetsAnEmptyReplyWithItsRound) {
    Host host;
    EXPECT_EQ(host.reply(R"({"clock":8412250000,"round":1,"events":[]})"), R"({"round":1,"cmds":[]})");
}

TEST(Adapter, RequestIsSentToTheKnownEndpoint) {
    Host host;
    const std::string reply = host.reply(
        batch(4, provision() + "," + ledger(3, 51530247) + "," + peers_known(3) + "," + ingress("c:a\\\"b")));
    EXPECT_EQ(reply,
              R"({"round":4,"cmds":[{"t":"place","sidecar_id":0,"request_id":"c:a\"b","endpoint":51530247},)"
              R"({"t":"defer","sidecar_id":0,"when":500001000,"label":1}]})");
}

TEST(Adapter, ListNumbersReusedWithinABatchAreResolvedInOrder) {
    Host host;
    const std::string reply = host.reply(batch(
        1, provision(0) + "," + ledger(0, 11) + "," + peers_known(0, 1, 0) + "," + provision(1) + "," +
               ledger(0, 22) + "," + peers_known(0, 1, 1) + "," + ingress("x", 0) + "," + ingress("y", 1)));
    EXPECT_NE(reply.find(R"("request_id":"x","endpoint":11)"), std::string::npos) << reply;
    EXPECT_NE(reply.find(R"("request_id":"y","endpoint":22)"), std::string::npos) << reply;
}

TEST(Adapter, ListsAreKeptBetweenBatches) {
    Host host;
    host.reply(batch(1, provision() + "," + ledger(15, 33)));
    const std::string reply = host.reply(batch(2, peers_known(15) + "," + ingress("x")));
    EXPECT_NE(reply.find(R"("endpoint":33)"), std::string::npos) << reply;
}

TEST(Adapter, StopAndProvisionInOneBatchResetTheInstance) {
    Host host;
    host.reply(batch(1, provision() + "," + ledger(0, 5) + "," + peers_known(0) + "," + ingress("x")));
    // The new instance knows neither the request nor the endpoint of the previous one.
    const std::string reply = host.reply(
        batch(2, R"({"t":"stop","sidecar_id":0},)" + provision() + "," +
                     R"({"t":"completed","sidecar_id":0,"request_id":"x","go":0,"endpoint":5,"ending":0,)"
                     R"("wait_time":1000,"last":false,"report":null},)" +
                     ingress("y")));
    EXPECT_EQ(reply.find("place"), std::string::npos) << reply;
}

TEST(Adapter, LoadReportsMayHaveUnknownNames) {
    Host host;
    host.reply(batch(1, provision() + "," + ledger(0, 5) + "," + peers_known(0) + "," + ingress("x")));
    EXPECT_NO_THROW(host.reply(batch(
        2, R"({"t":"completed","sidecar_id":0,"request_id":"x","go":0,"endpoint":5,"ending":1,)"
           R"("wait_time":1000,"last":true,"report":{"load_share":0.5,"concurrent":3,"novel":"text"}})")));
}

TEST(Adapter, SubscribesOnlyIfDiscoveryRequiresIt) {
    Host subscribing, automatic;
    EXPECT_NE(subscribing.reply(batch(1, provision(0, "subscribe"))).find(R"("t":"defer")"),
              std::string::npos);
    EXPECT_EQ(automatic.reply(batch(1, provision(0, "automatic"))), R"({"round":1,"cmds":[]})");
}

/// The reply to two requests with one key, under changed settings.
std::string reply_to_two_requests_with_one_key(const std::string& old_text, const std::string& new_text) {
    const std::string provision_text = provision_with(old_text, new_text);
    Host host;
    const auto one = [](const std::string& id) {
        std::string text = ingress(id);
        return text.replace(text.find(R"("extra":1)"), 9, R"("key":5)");
    };
    return host.reply(batch(
        1, provision_text + "," + ledger(0, 5) + "," + peers_known(0) + "," + one("x") + "," + one("y")));
}

TEST(Adapter, SequentialFlagIsPassedOn) {
    const std::string old_text = R"("effect":"free"})";
    const auto sends = [](const std::string& reply) {
        std::size_t n = 0;
        for (auto at = reply.find("place"); at != std::string::npos; at = reply.find("place", at + 1)) ++n;
        return n;
    };
    EXPECT_EQ(sends(reply_to_two_requests_with_one_key(old_text, old_text)), 2u);
    EXPECT_EQ(sends(reply_to_two_requests_with_one_key(old_text, R"("effect":"free","sequential":true})")),
              1u);
    EXPECT_EQ(sends(reply_to_two_requests_with_one_key(old_text, R"("effect":"free","sequential":null})")),
              2u);
}

TEST(Adapter, AttemptBudgetIsPassedOn) {
    const auto reply_to_retry_timer = [](const std::string& extra) {
        const std::string provision_text =
            provision_with(R"("tip_after":2000000000})", R"("tip_after":2000000000)" + extra + "}");
        Host host;
        host.reply(batch(1, provision_text + "," + ledger(0, 5) + "," + peers_known(0) + "," + ingress("x")));
        host.reply(batch(2, R"({"t":"completed","sidecar_id":0,"request_id":"x","go":0,"endpoint":5,)"
                            R"("ending":0,"wait_time":1000,"last":false,"report":null})"));
        // The token of the retry timer is the number of the request, which is the first one.
        return host.reply(batch(3, R"({"t":"due","sidecar_id":0,"label":1})", 400000000));
    };
    EXPECT_NE(reply_to_retry_timer("").find("place"), std::string::npos);
    EXPECT_NE(
        reply_to_retry_timer(R"(,"extra_floor":1,"resend_ratio":0,"look_back":2000000000)").find("place"),
        std::string::npos);
    const std::string none =
        reply_to_retry_timer(R"(,"extra_floor":0,"resend_ratio":0,"look_back":2000000000)");
    EXPECT_EQ(none.find("place"), std::string::npos) << none;
    EXPECT_THROW(reply_to_retry_timer(R"(,"resend_ratio":0.1)"), WireError);
}

TEST(Adapter, ServeWritesOneLinePerBatchUntilTheInputEnds) {
    std::istringstream in(batch(1, "") + "\n" + batch(2, "") + "\n");
    std::ostringstream out, err;
    EXPECT_EQ(serve(in, out, err), 0);
    EXPECT_EQ(out.str(), "{\"round\":1,\"cmds\":[]}\n{\"round\":2,\"cmds\":[]}\n");
    EXPECT_EQ(err.str(), "");
}

struct Malformed {
    const char* name;
    std::string line;
    const char* expected;  // part of the message
};
class MalformedLine : public testing::TestWithParam<Malformed> {};

TEST_P(MalformedLine, EndsWithAnErrorMessageAndNoPartialReply) {
    std::istringstream in(batch(1, provision() + "," + ledger(0, 5) + "," + peers_known(0)) + "\n" +
                          GetParam().line + "\n");
    std::ostringstream out, err;
    EXPECT_NE(serve(in, out, err), 0);
    EXPECT_EQ(out.str(), "{\"round\":1,\"cmds\":[]}\n");
    EXPECT_NE(err.str().find(GetParam().expected), std::string::npos) << err.str();
}

INSTANTIATE_TEST_SUITE_P(
    Wire, MalformedLine,
    testing::Values(
        Malformed{"Json", R"({"clock":1,)", "not valid JSON"},
        Malformed{"NotAnObject", "[]", "not an object"},
        Malformed{"NoRound", R"({"clock":1,"events":[]})", "field 'round' is missing"},
        Malformed{"NoClock", R"({"round":9,"events":[]})", "round 9: field 'clock' is missing"},
        Malformed{"NoEvents", R"({"round":9,"clock":1})", "round 9: field 'events' is missing"},
        Malformed{"EventsNoArray", R"({"round":9,"clock":1,"events":3})", "field 'events' is not an array"},
        Malformed{"UnknownMessage", batch(2, R"({"t":"nonsense","sidecar_id":0})"),
                  "round 2, message 'nonsense'"},
        Malformed{"UnknownInstance", batch(2, ingress("x", 9)), "names no running instance"},
        Malformed{"MissingField", batch(2, R"({"t":"lapsed","sidecar_id":0})"),
                  "round 2, message 'lapsed': field 'request_id' is missing"},
        Malformed{"NullField", batch(2, R"({"t":"due","sidecar_id":0,"label":null})"),
                  "field 'label' is missing"},
        Malformed{"MistypedText", batch(2, R"({"t":"lapsed","sidecar_id":0,"request_id":4})"),
                  "field 'request_id' is not a text"},
        Malformed{"MistypedNumber", batch(2, R"({"t":"due","sidecar_id":0,"label":"7"})"),
                  "field 'label' is not a non-negative integer"},
        Malformed{"NegativeInstance", batch(2, R"({"t":"due","sidecar_id":-1,"label":7})"),
                  "field 'sidecar_id'"},
        Malformed{"HugeInstance", batch(2, R"({"t":"due","sidecar_id":4294967296,"label":7})"),
                  "field 'sidecar_id' is out of range"},
        Malformed{"ClassOutOfRange",
                  batch(2, R"({"t":"ingress","sidecar_id":0,"request_id":"x","priority":1,"valid_until":5})"),
                  "field 'priority' is out of range"},
        Malformed{
            "OutcomeOutOfRange",
            batch(2, R"({"t":"completed","sidecar_id":0,"request_id":"x","go":0,"endpoint":5,"ending":8,)"
                     R"("wait_time":1})"),
            "field 'ending' is out of range"},
        Malformed{"ListOutOfRange", batch(2, ledger(16, 5)), "field 'ref' is out of range"},
        Malformed{"ListNeverSent", batch(2, peers_known(7)), "names a list that was never sent"},
        Malformed{"ListKind", batch(2, peers_known(0, 0)), "field 'kind' is out of range"},
        Malformed{"KeyOutOfRange",
                  batch(2, R"({"t":"ingress","sidecar_id":0,"request_id":"x","priority":0,"valid_until":5,)"
                           R"("key":9007199254740992})"),
                  "field 'key' is out of range"},
        Malformed{
            "ReportNoObject",
            batch(2, R"({"t":"completed","sidecar_id":0,"request_id":"x","go":0,"endpoint":5,"ending":1,)"
                     R"("wait_time":1,"report":[1]})"),
            "field 'report' is not an object"},
        Malformed{"SettingsMissing", batch(2, R"({"t":"provision","sidecar_id":1,"prng":1})"),
                  "field 'settings' is missing"},
        Malformed{
            "NegativeLatency",
            batch(2, R"({"t":"completed","sidecar_id":0,"request_id":"x","go":0,"endpoint":5,"ending":1,)"
                     R"("wait_time":-1})"),
            "field 'wait_time' is a negative span"},
        Malformed{
            "ZoneOutOfRange",
            batch(2,
                  R"({"t":"ledger","ref":1,"members_list":[{"endpoint":1,"locality":1,"availability":1}]},)" +
                      peers_known(1)),
            "'locality' is out of range"},
        Malformed{
            "KindOutOfRange",
            batch(
                2,
                R"({"t":"ledger","ref":1,"members_list":[{"endpoint":1,"class_of_host":1,"availability":1}]},)" +
                    peers_known(1)),
            "'class_of_host' is out of range"},
        Malformed{"AvailabilityOutOfRange",
                  batch(2, R"({"t":"ledger","ref":1,"members_list":[{"endpoint":1,"availability":3}]})"),
                  "field 'availability' is out of range"},
        Malformed{
            "SenselessSettings",
            batch(2,
                  R"({"t":"provision","sidecar_id":1,"prng":1,"settings":{"replicas_of_me":0,"position":0,)"
                  R"("discovery":"automatic","limits":{"try_limit":1},"invariants":{"answer_slack":1,)"
                  R"("cold_from":0.3,"fall_multiple":3.0,"ramp_time":5,"stop_sending_within":5,)"
                  R"("tip_after":2}}})"),
            "round 2, message 'provision': decision library: settings field 'replicas' is zero"},
        // A valid event before the malformed one must not show in the reply either.
        Malformed{"LateInTheBatch", batch(2, ingress("x") + R"(,{"t":"due","sidecar_id":0})"),
                  "round 2, message 'due': field 'label' is missing"}),
    [](const auto& info) { return info.param.name; });

TEST(Adapter, MalformedBatchChangesNoState) {
    Host host;
    host.reply(batch(1, provision() + "," + ledger(0, 5) + "," + peers_known(0)));
    EXPECT_THROW(host.reply(batch(2, R"({"t":"stop","sidecar_id":0},)" + ledger(0, 6) + "," + ingress("x"))),
                 WireError);
    const std::string reply = host.reply(batch(3, peers_known(0) + "," + ingress("x")));
    EXPECT_NE(reply.find(R"("request_id":"x","endpoint":5)"), std::string::npos) << reply;
}

TEST(Adapter, TenantOutOfRangeIsRejectedAndIgnoredWithoutTenants) {
    Host host;
    EXPECT_NO_THROW(host.reply(batch(1, provision() + "," +
                                            R"({"t":"ingress","sidecar_id":0,"request_id":"x","priority":0,)"
                                            R"("valid_until":2000000000,"party":7})")));
    const std::string provision_text =
        provision_with(R"("accounts":[])", R"("accounts":[{"name":"t","share":1}])");
    EXPECT_THROW(host.reply(batch(2, provision_text + "," +
                                         R"({"t":"ingress","sidecar_id":0,"request_id":"x",)"
                                         R"("priority":0,"valid_until":2000000000,"party":1})")),
                 WireError);
}

TEST(Writer, WritesEveryAction) {
    Writer writer(5);
    writer.write(1, Send{"a", EndpointId{7}, std::chrono::milliseconds(80)});
    writer.write(1, Refuse{"a", std::chrono::milliseconds(250)});
    writer.write(1, Refuse{"a", {}});
    writer.write(1, Fail{"a"});
    writer.write(1, Cancel{"a", 2});
    writer.write(1, SetTimer{Time{Duration{99}}, 3});
    writer.write(1, Probe{EndpointId{7}});
    writer.write(1, Subscribe{});
    writer.write(1, CloseIdleConnections{EndpointId{7}});
    writer.write_error(2, "bad\n\"index\"");
    EXPECT_EQ(std::move(writer).finish(),
              R"({"round":5,"cmds":[)"
              R"({"t":"place","sidecar_id":1,"request_id":"a","endpoint":7,"limit":80000000},)"
              R"({"t":"push_back","sidecar_id":1,"request_id":"a","stay_away":250000000},)"
              R"({"t":"push_back","sidecar_id":1,"request_id":"a"},)"
              R"({"t":"surrender","sidecar_id":1,"request_id":"a"},)"
              R"({"t":"withdraw","sidecar_id":1,"request_id":"a","go":2},)"
              R"({"t":"defer","sidecar_id":1,"when":99,"label":3},)"
              R"({"t":"touch","sidecar_id":1,"endpoint":7},)"
              R"({"t":"track","sidecar_id":1,"enable":true},)"
              R"({"t":"shut_idle","sidecar_id":1,"endpoint":7},)"
              R"({"t":"broken","sidecar_id":2,"reason_text":"bad\u000a\"index\""}]})");
}

}  // namespace
}  // namespace martenford::decision::wire
