#include "controller/register_storage.h"

#include <filesystem>
#include <memory>
#include <system_error>
#include <variant>

#include "bootstrap/program.h"
#include "bootstrap/startup_wait.h"
#include "controller/first_boot_record.h"
#include "event_log/event_log.h"
#include "rpc/messages.h"

namespace martenford::controller {
namespace {

using durable_store::DurableStore;
using durable_store::LoadResult;
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

/// In the store beside Raft's records: RegisterStorage::began_empty().
constexpr const char* kBeganEmptyKey = "began_empty";

durable_store::Records records_of(const raft::PersistentState& state, bool began_empty) {
    durable_store::Records records = rpc::to_records(state);
    if (began_empty) records[kBeganEmptyKey] = "";
    return records;
}

std::optional<StorageError> make_missing_directory(const std::string& directory) {
    std::error_code error;
    if (std::filesystem::is_directory(directory, error)) return std::nullopt;
    std::filesystem::create_directory(directory, error);
    if (!error) return std::nullopt;
    return durable_store::storage_error("create the data directory", error.value());
}

/// The settings' conditions, with what the disk says of the first boot.
StartConditions conditions_on_disk(const std::string& directory, const StartConditions& settings) {
    StartConditions conditions = settings;
    conditions.first_boot = false;
    if (const auto record = read_first_boot_record(directory)) {
        conditions.seed_addresses = record->seed_addresses;
        conditions.first_boot_incomplete = true;
    }
    return conditions;
}

/// Whether the state is that of a new member that began on an empty disk, and has never heard of a voter.
bool is_untouched_new_member(const LoadResult& loaded) {
    if (loaded.damaged || !loaded.records.contains(kBeganEmptyKey)) return false;
    const auto state = rpc::from_records(loaded.records);
    return state && state->term == 0 && state->last_entry.position == raft::LogPosition{} &&
           state->last_entry.voters.empty();
}

/// What is on the disk. A store without a record was never saved in whole: that is damage, too.
struct FoundStore {
    std::unique_ptr<DurableStore> store;  // null: there is none
    LoadResult loaded;
};

std::variant<FoundStore, StorageError> find_store(const std::string& directory) {
    FoundStore found;
    if (!DurableStore::exists(directory)) return found;
    auto opened = DurableStore::open(directory, kStoreMapBytes);
    if (auto* error = std::get_if<StorageError>(&opened)) return std::move(*error);
    found.store = std::get<std::unique_ptr<DurableStore>>(std::move(opened));
    found.loaded = found.store->load();
    found.loaded.damaged |= found.loaded.records.empty();
    return found;
}

/// The seeds may be told once more that this is the first boot, if an attempt at it has failed on all of
/// them.
std::optional<StorageError> forget_untouched_new_member(const std::string& directory) {
    bool is_untouched = false;
    {
        const auto found = find_store(directory);
        if (const auto* error = std::get_if<StorageError>(&found)) return *error;
        is_untouched = is_untouched_new_member(std::get<FoundStore>(found).loaded);
    }
    return is_untouched ? DurableStore::remove(directory) : std::nullopt;
}

/// Records a first boot that begins now, so that the next process takes it up if this one ends before it has
/// saved a state.
std::optional<StorageError> begin_first_boot(const std::string& directory,
                                             const StartConditions& conditions) {
    if (!conditions.first_boot) return std::nullopt;
    if (auto error = make_missing_directory(directory)) return error;
    if (auto error = forget_untouched_new_member(directory)) return error;
    // A store, or what was left of one, tells that this disk's first boot is over, whatever the settings say.
    if (DurableStore::exists(directory) || DurableStore::has_damaged_files(directory)) return std::nullopt;
    return write_first_boot_record(directory, {conditions.seed_addresses});
}

std::optional<StorageError> set_damaged_store_aside(const std::string& directory) {
    const auto kept_as = DurableStore::set_aside(directory);
    if (const auto* error = std::get_if<StorageError>(&kept_as)) return *error;
    log_event(Event::StorageDamaged, "the damaged store is kept", {{"as", std::get<std::string>(kept_as)}});
    return std::nullopt;
}

/// Saves the first state of this member in a new store.
std::variant<OpenedRegister, StorageError> create_register(const std::string& directory,
                                                           const InitialState& initial, bool had_store) {
    const bool began_empty = initial.origin == StateOrigin::FirstBoot ||
                             (!had_store && !DurableStore::has_damaged_files(directory));
    if (had_store) {
        if (auto error = set_damaged_store_aside(directory)) return std::move(*error);
    }
    auto created = DurableStore::create(directory, kStoreMapBytes, records_of(initial.state, began_empty));
    if (auto* error = std::get_if<StorageError>(&created)) return std::move(*error);
    return OpenedRegister{{std::get<std::unique_ptr<DurableStore>>(std::move(created)), began_empty},
                          initial.state};
}

std::variant<OpenedRegister, StorageError> load_or_create_register(const std::string& directory,
                                                                   const StartConditions& conditions) {
    auto found = find_store(directory);
    if (auto* error = std::get_if<StorageError>(&found)) return std::move(*error);
    auto& [store, loaded] = std::get<FoundStore>(found);
    InitialState initial = initial_state(loaded, conditions, bootstrap::random_nonzero_id());
    if (initial.origin == StateOrigin::Loaded) {
        const bool began_empty = loaded.records.contains(kBeganEmptyKey);
        return OpenedRegister{{std::move(store), began_empty}, std::move(initial.state)};
    }
    const bool had_store = store != nullptr;
    store.reset();
    auto created = create_register(directory, initial, had_store);
    if (std::holds_alternative<OpenedRegister>(created)) log_initial_state(initial);
    return created;
}

std::variant<OpenedRegister, StorageError> try_open_register(const std::string& directory,
                                                             const StartConditions& settings) {
    if (auto error = begin_first_boot(directory, settings)) return std::move(*error);
    auto opened = load_or_create_register(directory, conditions_on_disk(directory, settings));
    if (std::holds_alternative<StorageError>(opened)) return opened;
    if (auto error = remove_first_boot_record(directory)) return std::move(*error);
    return opened;
}

}  // namespace

std::optional<StorageError> RegisterStorage::save(const raft::PersistentState& state) {
    auto saved = store_->save(records_of(state, began_empty_));
    if (auto* error = std::get_if<StorageError>(&saved)) return std::move(*error);
    return std::nullopt;
}

std::variant<OpenedRegister, bootstrap::ExitCode> open_register(const std::string& directory,
                                                                const StartConditions& conditions) {
    for (;;) {
        auto opened = try_open_register(directory, conditions);
        if (auto* opened_register = std::get_if<OpenedRegister>(&opened)) return std::move(*opened_register);
        log_event(Event::StorageFailed, "cannot open the store",
                  {{"directory", directory}, {"what", std::get<StorageError>(opened).message}});
        if (!bootstrap::wait_unless_terminated(kOpenRetryDelay)) return bootstrap::ExitCode{0};
    }
}

}  // namespace martenford::controller
