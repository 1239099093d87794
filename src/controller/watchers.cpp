#include "controller/watchers.h"

#include <utility>

namespace martenford::controller {

Watchers::Watchers(Scheduler& scheduler, Sources sources, Send send)
    : scheduler_(scheduler), sources_(std::move(sources)), send_(std::move(send)), batch_timer_(scheduler) {}

void Watchers::handle(ConnectionId connection, const rpc::WatchRequest& request) {
    pending_.erase(connection);
    if (has_update(request)) {
        answer(connection, request);
    } else {
        pending_[connection] = {request, scheduler_.now() + kWatchTimeout};
    }
}

void Watchers::notify_registry_changed() {
    if (std::exchange(batch_scheduled_, true)) return;
    batch_timer_.set(scheduler_.now() + kWatchBatchDelay, [this] {
        batch_scheduled_ = false;
        answer_due();
    });
}

void Watchers::notify_if_config_changed() {
    const std::uint32_t version = sources_.config_service.record().version;
    if (std::exchange(notified_config_version_, version) != version) answer_due();
}

void Watchers::tick() {
    const Time now = scheduler_.now();
    const bool has_contact = sources_.raft.has_quorum_contact(now, kQuorumContactMaxAge);
    if (std::exchange(has_quorum_contact_, has_contact) != has_contact) {
        for (auto& [connection, watch] : pending_) watch.deadline = now;
    }
    answer_due();
}

bool Watchers::has_update(const rpc::WatchRequest& request) const {
    return request.epoch != sources_.registry.epoch() || request.seq != sources_.registry.seq() ||
           sources_.config_service.record().version > request.config_version;
}

void Watchers::answer_due() {
    const Time now = scheduler_.now();
    std::vector<ConnectionId> due;
    for (const auto& [connection, watch] : pending_) {
        if (has_update(watch.request) || now >= watch.deadline) due.push_back(connection);
    }
    for (const ConnectionId connection : due) {
        // An answer that can't be written closes its connection, which removes the request.
        const auto watch = pending_.find(connection);
        if (watch == pending_.end()) continue;
        const rpc::WatchRequest request = watch->second.request;
        pending_.erase(watch);
        answer(connection, request);
    }
}

void Watchers::answer(ConnectionId connection, const rpc::WatchRequest& request) {
    const Time now = scheduler_.now();
    const rpc::ConfigRecord& record = sources_.config_service.record();
    rpc::WatchResponse response;
    response.registry = sources_.registry.delta_since(request.epoch, request.seq);
    response.config_version = record.version;
    if (request.wants_config && record.version > request.config_version) response.config = record.document;
    response.has_quorum_contact = sources_.raft.has_quorum_contact(now, kQuorumContactMaxAge);
    response.controllers = sources_.known_controllers(now);
    send_(connection, response);
}

}  // namespace martenford::controller
