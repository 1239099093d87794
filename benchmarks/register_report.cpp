// What one of the operator's changes costs the agreed register: sizes of the word, of the entry on the wire
// and of what goes to disk, and the time of each write, at 71 services and 500 routes. `register_report
// [FOLDER]` keeps its file in FOLDER, else where it was started, and removes it.
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "durable_store/durable_store.h"
#include "mesh_config/mesh_config.h"
#include "rpc/messages.h"

using namespace martenford;

namespace {

constexpr int kServices = 71, kRoutes = 500, kHosts = 20, kTenants = 40, kChanges = 50;
constexpr std::size_t kHistory = 4096;

std::string configuration(std::uint32_t version) {
    mesh_config::Json out{{"version", mesh_config::text_of(version)},
                          {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 67108864}}},
                          {"base_version", mesh_config::text_of(version - 1)}};
    std::uint64_t drawn = 1;
    const auto name = [&](const char* kind) {
        drawn = mesh_config::digest(kind, drawn);
        char text[24];
        std::snprintf(text, sizeof text, "%s%07x", kind, static_cast<unsigned>(drawn & 0xfffffff));
        return std::string(text);
    };
    std::vector<std::string> services;
    for (int i = 0; i < kServices; ++i) {
        services.push_back(name("huvo"));
        out["clusters"].push_back({{"name", services.back()},
                                   {"health_path", "/health"},
                                   {"max_connections", 130},
                                   {"protocol", "h1"},
                                   {"tls", false}});
    }
    for (int i = 0; i < kHosts; ++i) {
        mesh_config::Json listener{{"host", name("jepu") + ".example"}};
        for (int k = 0; k < kRoutes / kHosts; ++k) {
            // One time-out follows the version: what a change is most often.
            mesh_config::Json action{{"timeout_ms", i + k == 0 ? 1000 + version % 1000 : 3000},
                                     {"max_attempts", 2}};
            const auto at = static_cast<std::size_t>(i * kRoutes / kHosts + k) % services.size();
            if (k % 3) {
                action["service"] = services[at];
            } else {
                action["weighted_split"] = {
                    {{"service", services[at]}, {"weight", 90}},
                    {{"service", services[(at + 1) % services.size()]}, {"weight", 10}}};
            }
            listener["rule_set"].push_back({{"name", name("r-")},
                                            {"route_kind", k % 2 ? "idempotent" : "non_idempotent"},
                                            {"target_latency_ms", 800},
                                            {"priority", k % 4},
                                            {"matcher", {{"path_prefix", "/" + name("lepu") + "/"}}},
                                            {"route_action", action}});
        }
        out["listeners"].push_back(listener);
    }
    for (int i = 0; i < kTenants; ++i)
        out["tenants"].push_back({{"name", name("t-")},
                                  {"api_keys", {name("key-"), name("key-")}},
                                  {"rate_per_s", 100},
                                  {"burst", 50}});
    return out.dump();
}

/// Bytes that this process has handed to write calls.
std::uint64_t written() {
    std::ifstream io("/proc/self/io");
    std::string field;
    for (std::uint64_t value = 0; io >> field >> value;) {
        if (field == "wchar:") return value;
    }
    return 0;
}

struct Cost {
    double ms = 0;
    std::uint64_t bytes = 0;
    template <class Act>
    void add(Act act) {
        const auto before = written();
        const auto start = std::chrono::steady_clock::now();
        act();
        ms += std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
        bytes += written() - before;
    }
    void print(const char* what) const {
        std::printf("%-44s %10.3f ms %10llu bytes written\n", what, ms / kChanges,
                    static_cast<unsigned long long>(bytes / kChanges));
    }
};

}  // namespace

int main(int argc, char** argv) {
    std::string folder = std::string(argc > 1 ? argv[1] : ".") + "/register-report-XXXXXX";
    if (!::mkdtemp(folder.data())) return 1;
    rpc::ConfigRecord word{1, configuration(1), {}};
    for (std::size_t i = 0; i < kHistory; ++i)
        word.accepted_changes.push_back({static_cast<std::uint32_t>(i * 3), mesh_config::digest("x", i)});
    raft::PersistentState disk;
    disk.self_id = 1;
    for (std::uint64_t i = 1; i <= 5; ++i)
        disk.last_entry.voters.push_back({i, "10.128.0." + std::to_string(i) + ":7000"});
    disk.last_entry.value = rpc::encode(word);
    disk.committed_entry = disk.last_entry;
    raft::Message message;
    const auto heartbeat = rpc::encode(rpc::Message{message}).size();
    message.entry = disk.last_entry;
    std::printf("document %zu bytes, of the history %zu digests, word %zu bytes\n", word.document.size(),
                word.accepted_changes.size(), disk.last_entry.value.size());
    std::printf("on the wire: an entry %zu bytes, a heartbeat without one %zu\n",
                rpc::encode(rpc::Message{message}).size(), heartbeat);

    auto opened = durable_store::DurableStore::open(folder, 96 * 1024 * 1024);
    if (!std::holds_alternative<std::unique_ptr<durable_store::DurableStore>>(opened)) return 1;
    const auto store = std::get<std::unique_ptr<durable_store::DurableStore>>(std::move(opened));
    const auto save = [&] {
        if (!std::holds_alternative<std::monostate>(store->save(rpc::to_records(disk)))) std::abort();
    };
    save();
    Cost checked, encoded, decoded, proposed, committed, voted;
    for (int i = 0; i < kChanges; ++i) {
        const std::string next = configuration(static_cast<std::uint32_t>(i) + 2);
        checked.add([&] { mesh_config::read_config(mesh_config::Json::parse(next)); });
        word.document = next;
        std::string value;
        encoded.add([&] { value = rpc::encode(word); });
        decoded.add([&] { rpc::decode_config_record(value); });
        disk.last_entry.position.index++;
        disk.last_entry.value = std::move(value);
        proposed.add(save);
        disk.committed_entry = disk.last_entry;
        committed.add(save);
        disk.term++;
        disk.voted_for = 1;
        voted.add(save);
    }
    checked.print("a configuration is read and checked");
    encoded.print("the word is encoded");
    decoded.print("the word is decoded");
    proposed.print("disk: an entry is taken");
    committed.print("disk: it is committed");
    voted.print("disk: a vote is given");
    std::printf("file: %ju bytes\n",
                static_cast<std::uintmax_t>(std::filesystem::file_size(folder + "/word.mdb")));
    std::filesystem::remove_all(folder);
}
