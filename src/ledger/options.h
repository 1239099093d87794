// Options of the [ledger] section of the program's own configuration file.
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
    std::string helper;             ///< path of martenford-ledger; empty: next to this program
    std::string key_file;           ///< file with the secret key for body digests; empty: no digests
    Duration hold_timeout = 250ms;  ///< a request whose intent is not durable by then is refused
    std::uint64_t max_bytes = 0;    ///< maximum size of the database file
    ClassOptions non_idempotent{Durability::Group,
                                OutagePolicy::Refuse};  ///< default for classes that are not listed and whose
                                                        ///< requests are not idempotent
    std::map<std::string, ClassOptions> classes;        ///< by class name
    GroupCommit::Options batch;
    PendingRecords::Options queue;
    Duration journal_retention =
        std::chrono::hours(24 * 30);  ///< how long settled requests stay in the database
    Duration archive_retention = std::chrono::hours(24 * 400);
};

}  // namespace martenford::ledger
