#include "controller/register_storage.h"

#include <filesystem>
#include <variant>

#include "bootstrap/program.h"
#include "bootstrap/startup_wait.h"
#include "controller/first_boot_record.h"
#include "event_log/event_log.h"
#include "rpc/messages.h"

namespace martenford::controller {
namespace {

using durable_store::DurableStore;
using durable_store::StorageError;
using event_log::Event;
using event_log::log_event;

// Between two attempts to open the store: short beside an election, long enough not to spin on a full disk.
constexpr Duration kOpenRetryDelay = 200ms;

void log_initial_state(const InitialState& initial) {
    switch (initial.damage) {
        case StorageDamage::None:
            break;
        case StorageDamage::UnreadableRecord:
            log_event(Event::StorageDamaged, "a record is damaged");
            break;
        case StorageDamage::InconsistentRecords:
            log_event(Event::StorageDamaged, "the records are inconsistent");
            break;
    }
    if (initial.origin == StateOrigin::NewMember) {
        log_event(Event::NewMember, "starting as a new member without a vote");
    }
}

bool has_store(const std::string& directory) {
    std::error_code ignored;
    return std::filesystem::exists(directory + "/" + durable_store::kDatabaseFileName, ignored);
}

/// Records a first boot that begins now, or returns the conditions of one that an earlier process began and
/// did not complete. That process has saved no state, and so has given no vote.
StartConditions with_first_boot_record(const std::string& directory, const StartConditions& conditions) {
    if (conditions.first_boot) {
        if (!has_store(directory)) write_first_boot_record(directory, {conditions.seed_addresses});
        return conditions;
    }
    const auto record = read_first_boot_record(directory);
    if (!record) return conditions;
    return {conditions.own_address, record->seed_addresses, true};
}

std::variant<OpenedRegister, StorageError> try_open_register(const std::string& directory,
                                                             const StartConditions& conditions) {
    auto opened = DurableStore::open(directory, kStoreMapBytes);
    if (auto* error = std::get_if<StorageError>(&opened)) {
        log_event(Event::StorageFailed, "cannot open the store", {{"what", error->message}});
        return std::move(*error);
    }
    RegisterStorage storage(std::get<std::unique_ptr<DurableStore>>(std::move(opened)));
    InitialState initial = initial_state(storage.load(), conditions, bootstrap::random_nonzero_id());
    log_initial_state(initial);
    if (initial.origin != StateOrigin::Loaded) {
        if (auto error = storage.save(initial.state)) {
            log_event(Event::StorageFailed, "cannot write the initial state", {{"what", error->message}});
            return std::move(*error);
        }
    }
    return OpenedRegister{std::move(storage), std::move(initial.state)};
}

}  // namespace

std::optional<StorageError> RegisterStorage::save(const raft::PersistentState& state) {
    auto saved = store_->save(rpc::to_records(state));
    if (auto* error = std::get_if<StorageError>(&saved)) return std::move(*error);
    return std::nullopt;
}

std::variant<OpenedRegister, bootstrap::ExitCode> open_register(const std::string& directory,
                                                                const StartConditions& conditions) {
    const StartConditions conditions_on_disk = with_first_boot_record(directory, conditions);
    for (;;) {
        auto opened = try_open_register(directory, conditions_on_disk);
        if (auto* opened_register = std::get_if<OpenedRegister>(&opened)) {
            remove_first_boot_record(directory);
            return std::move(*opened_register);
        }
        if (!bootstrap::wait_unless_terminated(kOpenRetryDelay)) return bootstrap::ExitCode{0};
    }
}

}  // namespace martenford::controller
