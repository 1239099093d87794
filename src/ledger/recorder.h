// Stands between the engine and a back: what must not run twice is told to the journal before its first byte
// goes out, and how it ended after. The engine and the back know nothing of it.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/counters.h"
#include "core/endpoint_client.h"
#include "core/endpoint_table.h"
#include "core/engine.h"
#include "ledger/digest.h"
#include "ledger/options.h"
#include "ledger/writer_link.h"

namespace martenford::ledger {

class Recorder : public EndpointClient, public EndpointTable, public RequestInterceptor {
  public:
    /// All references outlive it. Throws std::runtime_error where the digest's key can't be read.
    Recorder(Scheduler& scheduler, EndpointClient& back, EndpointTable& placement, WriterLink& link,
             const Options& options, const std::vector<decision::RequestClass>& classes, Counters& counters);
    ~Recorder() override;

    /// Answers an open request at once: `refused`, or failed where something of it may have run.
    void on_give_up(std::function<void(const decision::RequestId&, bool refused)> give_up) {
        give_up_ = std::move(give_up);
    }

    /// The first attempt of a request is on its way: it is held no more.
    void on_release(std::function<void(const decision::RequestId&)> release) {
        release_ = std::move(release);
    }

    Handle send(EndpointId id, std::shared_ptr<const Message> message, Time end, Done done) override;
    void probe(EndpointId id, Done done) override { back_.probe(id, std::move(done)); }
    void close_idle_connections(EndpointId id) override { back_.close_idle_connections(id); }

    void set_endpoint(EndpointId id, const Address& address, bool ready) override;
    void remove(EndpointId id) override;
    void set_name(EndpointId id, const std::string& uid) override;

    bool admits(const decision::Request& request) override;
    bool holds(const decision::Request& request) override;
    std::function<void()> completed(const decision::RequestId& id, Answer::Kind kind) override;
    void client_disconnected(const decision::RequestId& id) override;

  private:
    class HeldAttempt;
    struct InFlight {
        std::uint32_t attempt = 0;
        EndpointId endpoint{};
    };
    struct RequestState {
        std::uint64_t serial = 0;
        std::uint32_t attempts = 0;
        std::vector<InFlight> in_flight;
        bool journaled =
            false;  // the journal has an intent of it; what it has none of it hears no more about
        bool may_have_run = false;  // by an attempt that has ended
        bool complete = false;
    };
    struct EndpointInfo {
        std::string uid, address;
    };

    const ClassOptions& options_for(std::uint32_t class_index) const;
    RequestState& state_of(const decision::RequestId& id);
    bool append(std::uint64_t serial, bool urgent, decltype(Record::payload) what);
    bool append_intent(RequestState& request_state, const Message& message, EndpointId id,
                       std::uint32_t attempt, bool urgent);
    Handle forward(EndpointId id, const std::shared_ptr<const Message>& message, Time end, Done done,
                   std::uint32_t attempt);
    void ended(const decision::RequestId& id, std::uint32_t attempt, Ending ending);
    void written(const Message& message, EndpointId endpoint);
    void append_written();
    void withhold(const decision::RequestId& id);
    void note_unjournaled();
    void on_journal_change();
    void close_gap();
    void erase_if_finished(const decision::RequestId& id);

    Scheduler& scheduler_;
    EndpointClient& back_;
    EndpointTable& placement_;
    WriterLink& link_;
    const Options& options_;
    std::vector<ClassOptions> classes_;
    std::vector<std::string> class_names_;
    std::unique_ptr<BodyDigest> digest_;
    std::function<void(const decision::RequestId&, bool)> give_up_;
    std::function<void(const decision::RequestId&)> release_;
    std::unordered_map<EndpointId, EndpointInfo> endpoints_;  // as many as discovery lists
    std::unordered_map<decision::RequestId, RequestState> requests_;
    std::uint64_t serial_ = 0;
    std::deque<std::pair<std::uint64_t, std::shared_ptr<HeldAttempt>>> held_;  // by sequence
    struct WrittenAt {
        decision::RequestId id;
        std::uint32_t attempt = 0;
        std::int64_t wall_ms = 0;
    };
    std::vector<WrittenAt> written_;  // in the last 20 ms, as many as were sent in it
    Timer written_timer_;
    Gap gap_;
    bool unjournaled_logged_ = false;
    Counter &held_count_, &refused_, &unjournaled_;
};

}  // namespace martenford::ledger
