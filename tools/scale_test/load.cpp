#include "load.h"

#include "figures.h"

namespace martenford::scale_test {

namespace {

constexpr double Load::*kAllFields[] = {
    &Load::processor, &Load::memory,      &Load::peak,         &Load::disk,     &Load::in,
    &Load::out,       &Load::messages_in, &Load::messages_out, &Load::core_out, &Load::connections};

/// Fields that grow with time.
constexpr double Load::*kRateFields[] = {&Load::processor, &Load::in, &Load::out, &Load::core_out,
                                         &Load::disk};

/// Adds the traffic of the process's open connections.
void add_traffic(Load& load, const std::string& name, const Snapshot& before, const Snapshot& after) {
    const auto open = after.sockets.find(name);
    if (open == after.sockets.end()) return;
    const auto earlier = before.sockets.find(name);
    load.connections = static_cast<double>(open->second.size());
    for (const auto& [cookie, socket] : open->second) {
        TcpEndpoint start;  // zero for a connection opened in between
        if (earlier != before.sockets.end()) {
            if (const auto it = earlier->second.find(cookie); it != earlier->second.end()) start = it->second;
        }
        load.in += socket.bytes_in - start.bytes_in;
        load.out += socket.bytes_out - start.bytes_out;
        load.messages_in += socket.messages_in - start.messages_in;
        load.messages_out += socket.messages_out - start.messages_out;
        if (after.between_controllers.contains(cookie)) load.core_out += socket.bytes_out - start.bytes_out;
    }
}

}  // namespace

Load load_between(const std::string& name, const Snapshot& before, const Snapshot& after) {
    const ProcessUsage& end = after.spent.at(name);
    ProcessUsage start;
    if (const auto it = before.spent.find(name); it != before.spent.end()) start = it->second;
    const bool is_same_process = end.processor_s >= start.processor_s && end.disk_bytes >= start.disk_bytes;
    if (!is_same_process) start = ProcessUsage{};
    Load out;
    out.processor = end.processor_s - start.processor_s;
    out.disk = end.disk_bytes - start.disk_bytes;
    out.memory = end.memory_mb;
    out.peak = end.peak_mb;
    add_traffic(out, name, before, after);
    return out;
}

Load summed(const std::vector<Load>& loads, double divisor) {
    Load out;
    for (const Load& load : loads) {
        for (const auto field : kAllFields) out.*field += load.*field / divisor;
    }
    return out;
}

Load median_load(const std::vector<Load>& loads) {
    Load out;
    for (const auto field : kAllFields) {
        std::vector<double> values;
        values.reserve(loads.size());
        for (const Load& load : loads) values.push_back(load.*field);
        out.*field = median(values);
    }
    return out;
}

Roles cost_beyond_idle(Roles spent, double span_s, const Roles& idle, double idle_s) {
    for (auto& [role, load] : spent) {
        for (const auto& [idle_role, idle_load] : idle) {
            if (idle_role != role) continue;
            for (const auto field : kRateFields) load.*field -= idle_load.*field * span_s / idle_s;
        }
    }
    return spent;
}

}  // namespace martenford::scale_test
