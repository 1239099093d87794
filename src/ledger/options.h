// The section [ledger] of our own configuration.
#pragma once

#include <map>
#include <string>

#include "core/scheduler.h"
#include "ledger/group_commit.h"
#include "ledger/pending_records.h"

namespace martenford::ledger {

struct ClassOptions {
    Durability level = Durability::Off;
    OutagePolicy outage = OutagePolicy::Refuse;
};

struct Options {
    std::string directory;
    std::string helper;             ///< path of martenford-ledger; empty: beside the program
    std::string key_file;           ///< a secret for digests of bodies; empty: none are kept
    Duration hold_timeout = 250ms;  ///< an intent that is not durable by then is refused
    std::uint64_t max_bytes = 0;    ///< of the file
    ClassOptions non_idempotent{
        Durability::Group, OutagePolicy::Refuse};  ///< of classes that are not named and must not run twice
    std::map<std::string, ClassOptions> classes;   ///< by name
    GroupCommit::Options batch;
    PendingRecords::Options queue;
    Duration journal_retention =
        std::chrono::hours(24 * 30);  ///< settled requests stay in the file for so long
    Duration archive_retention = std::chrono::hours(24 * 400);
};

}  // namespace martenford::ledger
