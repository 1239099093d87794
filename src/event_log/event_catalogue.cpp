// The table of events and its page. A new event gets a code that was never used.
#include <iterator>

#include "event_log/event_log.h"

namespace martenford::event_log {

namespace {

const char* name_of(Severity severity) {
    switch (severity) {
        case Severity::Info:
            return "info";
        case Severity::Warning:
            return "warning";
        case Severity::Error:
            return "error";
    }
    return "";
}

// The groups of codes: MG1 process, MG2 configuration, MG3 Raft, MG4 storage, MG5 registry, MG6 control plane
// as a proxy sees it, MG7 requests.
constexpr EventDescription kCatalogue[] = {
    {Event::Started, "MG101", "program.started", nullptr, Severity::Info, 10,
     "The process listens on its ports. It serves no requests yet."},
    {Event::Stopping, "MG102", "program.stopping", nullptr, Severity::Info, 10,
     "The process received SIGTERM and shuts down gracefully."},
    {Event::BadSettings, "MG103", "program.bad_settings", nullptr, Severity::Error, 10,
     "The settings file cannot be used. The process exits with code 2."},
    {Event::Stopped, "MG104", "program.stopped", nullptr, Severity::Info, 10,
     "The graceful shutdown of a proxy is over and the process exits. The line says whether both "
     "listeners "
     "were drained, how long that took, and what was still owed to clients and to other proxies."},
    {Event::AnswersCut, "MG105", "program.answers_cut", nullptr, Severity::Error, 10,
     "A proxy exits though requests that it read whole have no whole answer, their deadline is not "
     "reached and "
     "no answer was begun before the shutdown. The line counts them. Unless a client or another proxy "
     "was "
     "frozen or cut off, this must not happen."},
    {Event::StartDelayed, "MG106", "program.start_delayed", nullptr, Severity::Warning, 30,
     "The start waits for something that it can't do without and that may come, such as a port that another "
     "process holds. The line says for what. The process goes on by itself."},
    {Event::LogLinesLost, "MG107", "program.log_lines_lost", nullptr, Severity::Warning, 60,
     "Standard error did not take that many lines before this one: nobody read them in time."},
    {Event::ReloadRejected, "MG108", "program.reload_rejected", nullptr, Severity::Error, 10,
     "After SIGHUP the settings file cannot be used. The settings in use stay."},
    {Event::ConfigAccepted, "MG201", "config.accepted", "charter.taken", Severity::Info, 60,
     "The controller committed a configuration and acknowledged it to the operator."},
    {Event::ConfigRejected, "MG202", "config.rejected", "charter.refused", Severity::Warning, 60,
     "The controller rejected a configuration. The line gives the reason."},
    {Event::ConfigApplied, "MG203", "config.applied", "charter.served", Severity::Info, 60,
     "The proxy serves requests by another version of the configuration than before."},
    {Event::LeadershipGained, "MG301", "raft.leadership_gained", "moot.leads", Severity::Info, 60,
     "This controller became the Raft leader."},
    {Event::LeadershipLost, "MG302", "raft.leadership_lost", "moot.lead_lost", Severity::Warning, 60,
     "This controller is no longer the Raft leader."},
    {Event::VotersChanged, "MG303", "raft.voters_changed", "moot.members", Severity::Warning, 60,
     "The set of Raft voters changed. The line lists them."},
    {Event::VoteTransferred, "MG304", "raft.vote_transferred", "moot.place_given", Severity::Info, 10,
     "During its shutdown this controller handed its vote and its copy of the data to other "
     "controllers."},
    {Event::VoteKept, "MG305", "raft.vote_kept", "moot.place_kept", Severity::Warning, 10,
     "This controller shut down as a voter: no other took its vote in time. Bring its disk back."},
    {Event::FaultToleranceNotMet, "MG306", "raft.fault_tolerance_not_met", "moot.losses_not_borne",
     Severity::Warning, 30,
     "The present voters cannot survive the losses that fault_tolerance requires. Add controllers."},
    {Event::FirstStartRepaired, "MG307", "raft.first_start_repaired", nullptr, Severity::Warning, 10,
     "The other first voters were lost before the first start of the system was complete. The new "
     "controllers "
     "at their addresses have taken their places."},
    {Event::VotersUnknown, "MG308", "raft.voters_unknown", nullptr, Severity::Warning, 10,
     "This new member has heard of no voter for 10 s. It goes on looking. If the first start of the system "
     "failed on all seeds, restart them with first_boot = true."},
    {Event::StorageFailed, "MG401", "storage.write_failed", "strongbox.trouble", Severity::Error, 12,
     "The data directory could not be opened or written. The controller acknowledges nothing until a "
     "write "
     "succeeds."},
    {Event::StorageDamaged, "MG402", "storage.damaged", "strongbox.damaged", Severity::Error, 10,
     "The store on disk is damaged. Its file is kept for a person under the name that the line gives, and "
     "the "
     "controller rejoins as a new member."},
    {Event::NewMember, "MG403", "storage.new_member", "strongbox.fresh", Severity::Warning, 10,
     "The data directory is empty though first_boot is false, or its store is damaged. The controller "
     "joins as a new member without a vote."},
    {Event::EndpointSeen, "MG501", "endpoint.seen", nullptr, Severity::Info, 60,
     "A new endpoint sends heartbeats to this proxy or answers its health checks."},
    {Event::EndpointDraining, "MG502", "endpoint.draining", "endpoint.leaves", Severity::Info, 60,
     "The endpoint drains: it gets no new requests."},
    {Event::EndpointGone, "MG503", "endpoint.gone", nullptr, Severity::Warning, 60,
     "The endpoint deregistered, or its heartbeats stopped. The line gives the reason."},
    {Event::ProxyLeaseExpired, "MG504", "registry.lease_expired", "rolls.silent", Severity::Warning, 60,
     "A proxy did not renew its registration at this controller before its lease expired. Reserved: no "
     "program writes it yet."},
    {Event::QuorumContactLost, "MG601", "proxy.quorum_contact_lost", "stall.out_of_touch", Severity::Warning,
     30,
     "The proxy reaches no controller that has contact with a quorum. It serves on by its last "
     "configuration and registry."},
    {Event::QuorumContactRestored, "MG602", "proxy.quorum_contact_restored", "stall.in_touch", Severity::Info,
     30, "The proxy reaches a controller with quorum contact again."},
    {Event::NoConfig, "MG603", "proxy.no_config", "stall.no_charter", Severity::Info, 10,
     "The proxy has received no configuration yet and serves no requests. Reserved: no program writes it "
     "yet."},
    {Event::RequestTotals, "MG701", "proxy.request_totals", "stall.answers", Severity::Info, 12,
     "Counts of requests by outcome since the start of the process, every 10 s. And of answers that named "
     "another request than the one that waited: skipped (endpoints sent them late or twice), hop_skipped "
     "(another proxy did: expect 0), withheld (MG702); early: reads that brought bytes while a request was "
     "open."},
    {Event::AnswerWithheld, "MG702", "proxy.answer_withheld", nullptr, Severity::Error, 60,
     "An endpoint's answer bore another Attempt-Id than the request that it was about to be given to. The "
     "client got 502 in its place. This must not happen. The line says where the answer came from and what "
     "the client's connection carried last."},
};

}  // namespace

const std::vector<EventDescription>& event_catalogue() {
    static const std::vector<EventDescription> kEvents(std::begin(kCatalogue), std::end(kCatalogue));
    return kEvents;
}

std::string catalogue_page() {
    std::string page =
        "| code | name | severity | lines a minute | meaning | former name |\n"
        "| --- | --- | --- | --- | --- | --- |\n";
    for (const EventDescription& event : event_catalogue()) {
        page += std::string("| ") + event.code;
        page += std::string(" | ") + event.name;
        page += std::string(" | ") + name_of(event.severity);
        page += " | " + std::to_string(event.max_per_minute);
        page += std::string(" | ") + event.meaning;
        page += std::string(" | ") + (event.former_name ? event.former_name : "") + " |\n";
    }
    return page;
}

}  // namespace martenford::event_log
