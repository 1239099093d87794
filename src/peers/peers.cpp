#include "peers/peers.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <random>
#include <utility>

#include "core/events.h"
#include "core/socket_buffers.h"
#include "framing/frame.h"

namespace martenford::peers {

using boost::system::error_code;
using fleet::Evidence;
using fleet::Id;
using fleet::Message;

namespace {

constexpr Duration kConnectTimeout = 1s;  // to connect: a path that drops packets gives no error
constexpr Duration kHelloTimeout = 1s;    // for the peer's hello: a stalled process gives no error either
constexpr Duration kFrameTimeout = 2s;    // for the rest of a frame: with a corrupt length it may never come
// A link on which a ping was unanswered for so long, without a byte received, is dialled anew.
constexpr Duration kUnresponsiveAfter = 5s;
constexpr Duration kListenRetryDelay = 1s;
constexpr Duration kAcceptRetryDelay = 50ms;  // such as after running out of descriptors
constexpr std::size_t kMaxWriteBytes = 64 * 1024;
// Per link. A fleet of 300 that starts at once sends 50.
constexpr std::size_t kMaxMessagesPerSecond = 2000;
constexpr Duration kBanTime = 5s;  // how long an address that floods is refused
constexpr std::size_t kMaxBanned = 256;
constexpr std::size_t kMaxEvents = 256;  // kept for operators
constexpr std::size_t kMaxStateChanges = 1024;
constexpr std::size_t kMaxNamedMembers = 5;  // members named in one log line
constexpr int kBacklog = 512;                // a whole fleet may dial one member at once

/// Thrown if a peer sends too many messages, which is no accident. Its address is banned for a while.
struct MessageFlood : framing::FrameError {
    using FrameError::FrameError;
};

void log_event(const fleet::FleetEvent& fleet_event, const std::string& line) {
    using Kind = fleet::FleetEvent::Kind;
    constexpr std::pair<Kind, Event> kEvents[] = {{Kind::Joined, Event::FleetJoined},
                                                  {Kind::Left, Event::FleetLeft},
                                                  {Kind::Died, Event::FleetDied},
                                                  {Kind::MassLoss, Event::FleetMassLoss},
                                                  {Kind::Returned, Event::FleetReturned},
                                                  {Kind::NameConflict, Event::FleetDuplicateName},
                                                  {Kind::OwnStall, Event::FleetProcessPaused},
                                                  {Kind::OwnSuspicion, Event::FleetSuspicionRefuted}};
    const Event event = std::find_if(std::begin(kEvents), std::end(kEvents), [&](const auto& e) {
                            return e.first == fleet_event.kind;
                        })->second;
    if (fleet_event.subjects.size() == 1)
        return log_event(event, line,
                         {{"member", fleet_event.subjects[0].name},
                          {"boot", fmt::format("{:016x}", fleet_event.subjects[0].boot)}});
    log_event(event, line,
              {{"members", std::to_string(fleet_event.subjects.size())},
               {"of", std::to_string(fleet_event.live_before)}});
}

std::uint64_t random_id() {
    std::random_device random;
    std::uint64_t id = 0;
    while (id == 0) id = static_cast<std::uint64_t>(random()) << 32 | random();
    return id;
}

}  // namespace

class Peers::Link : public std::enable_shared_from_this<Peers::Link> {
  public:
    enum class Phase { Connecting, Handshaking, Up, Closed };

    Link(Peers& peers, asio::ip::tcp::socket socket, bool outbound)
        : peers_(peers),
          socket_(std::move(socket)),
          timeout_(peers.loop_),
          outbound_(outbound),
          queue_(peers.options_.max_queued_bytes),
          last_used_(peers.loop_.now()) {}

    void connect(const std::string& address, const Address& where) {
        address_ = address;
        timeout_.set(peers_.loop_.now() + kConnectTimeout,
                     [self = shared_from_this()] { self->close(Evidence::Silent); });
        error_code error;
        socket_.open(where.protocol(), error);
        if (!error) limit_socket_buffers(socket_);
        // Connects from the listen address, so that peers can tell whose link this is.
        if (!error && !peers_.listens_on_any_address_) socket_.bind({peers_.listen_.address(), 0}, error);
        if (error) {
            timeout_.set(peers_.loop_.now(), [self = shared_from_this()] { self->close(Evidence::Silent); });
            return;
        }
        socket_.async_connect(where, [self = shared_from_this()](const error_code& error) {
            if (self->phase_ != Phase::Connecting) return;
            if (!error) return self->send_hello();
            self->close(error == asio::error::connection_refused ? Evidence::Gone : Evidence::Silent);
        });
    }
    void send_hello() {
        phase_ = Phase::Handshaking;
        error_code ignored;
        socket_.non_blocking(true, ignored);
        socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
        timeout_.set(peers_.loop_.now() + kHelloTimeout,
                     [self = shared_from_this()] { self->close(Evidence::Stalled); });
        const fleet::LocalMember& self = peers_.fleet_->self();
        out_ = fleet::frame_of(fleet::Hello{peers_.options_.name, self.id, self.address, self.version});
        write();
        read();
    }
    void put(const Message& message) {
        last_used_ = peers_.loop_.now();
        if (phase_ == Phase::Up && message.kind == Message::Kind::Ping && ping_unanswered_since_ == Time{})
            ping_unanswered_since_ = last_used_;
        const auto dropped = queue_.dropped();
        queue_.put(message);
        peers_.messages_dropped_.add(queue_.dropped() - dropped);
        flush();
    }
    void put(const fleet::Payload& payload) {
        last_used_ = peers_.loop_.now();
        const auto dropped = queue_.dropped();
        queue_.put(payload);
        peers_.messages_dropped_.add(queue_.dropped() - dropped);
        flush();
    }
    void announce_and_close() {
        Message notice;
        notice.kind = Message::Kind::LinkClosing;
        // Written at once, as far as the socket accepts it: closing does not wait for the notice.
        const std::string frame = fleet::frame_of(notice);
        error_code ignored;
        if (phase_ == Phase::Up && !writing_) socket_.write_some(asio::buffer(frame), ignored);
        closing_announced_ = true;
        close(Evidence::Silent);
    }
    void close(Evidence evidence) {
        if (phase_ == Phase::Closed) return;
        const auto self = shared_from_this();
        timeout_.cancel();
        error_code ignored;
        socket_.close(ignored);
        phase_at_close_ = std::exchange(phase_, Phase::Closed);
        peers_.link_closed(*this, evidence);
    }

    Phase phase() const { return phase_; }
    Phase phase_at_close() const { return phase_at_close_; }
    bool outbound() const { return outbound_; }
    bool closing_announced() const { return closing_announced_; }
    const std::string& address() const { return address_; }
    const Id& id() const { return id_; }
    const std::string& version() const { return version_; }
    Time last_used() const { return last_used_; }
    /// Whether the connection is open but dead, as after the loss of the peer's machine.
    bool unresponsive() const {
        return ping_unanswered_since_ != Time{} &&
               peers_.loop_.now() > ping_unanswered_since_ + kUnresponsiveAfter;
    }
    const SendQueue& queue() const { return queue_; }
    std::uint64_t bytes_in() const { return bytes_in_; }
    std::uint64_t bytes_out() const { return bytes_out_; }

  private:
    void flush() {
        if (writing_ || phase_ != Phase::Up || queue_.empty()) return;
        out_ = queue_.take(kMaxWriteBytes);
        write();
    }
    void write() {
        writing_ = true;
        asio::async_write(socket_, asio::buffer(out_),
                          [self = shared_from_this()](const error_code& error, std::size_t size) {
                              self->writing_ = false;
                              self->bytes_out_ += size;
                              self->peers_.bytes_out_.add(size);
                              if (self->phase_ == Phase::Closed) return;
                              if (error) return self->close(Evidence::Stalled);
                              self->flush();
                          });
    }
    void read() {
        socket_.async_read_some(asio::buffer(chunk_),
                                [self = shared_from_this()](const error_code& error, std::size_t size) {
                                    if (self->phase_ == Phase::Closed) return;
                                    if (error) return self->close(Evidence::Stalled);
                                    self->bytes_in_ += size;
                                    self->ping_unanswered_since_ = {};
                                    self->peers_.bytes_in_.add(size);
                                    self->receive({self->chunk_.data(), size});
                                });
    }
    void receive(std::string_view bytes) {
        const auto self = shared_from_this();
        try {
            reader_.feed(bytes);
            while (phase_ != Phase::Closed) {
                const auto frame = reader_.next();
                if (!frame) break;
                const fleet::FrameBody body = fleet::parse_frame_body(*frame);
                if (const auto* hello = std::get_if<fleet::Hello>(&body)) {
                    accept_hello(*hello);
                } else {
                    if (phase_ != Phase::Up) throw framing::FrameError("message before the hello");
                    check_message_rate();
                    if (const auto* payload = std::get_if<fleet::Payload>(&body)) {
                        last_used_ = peers_.loop_.now();
                        if (peers_.on_payload_) peers_.on_payload_(id_, address_, payload->bytes);
                        continue;
                    }
                    const auto& message = std::get<Message>(body);
                    last_used_ = peers_.loop_.now();
                    if (message.kind == Message::Kind::LinkClosing) {
                        closing_announced_ = true;
                        peers_.fleet_->link_closed_by_peer(peers_.loop_.now(), id_);
                        peers_.pump();
                    } else {
                        peers_.message_received(*this, message);
                    }
                }
            }
        } catch (const MessageFlood&) {
            error_code ignored;
            const auto from = socket_.remote_endpoint(ignored);
            if (!ignored && peers_.banned_.size() < kMaxBanned)
                peers_.banned_[from.address()] = peers_.loop_.now() + kBanTime;
            peers_.bad_links_.add();
            return close(Evidence::Stalled);
        } catch (const framing::FrameError&) {
            // Closes this link only; other links are not affected.
            peers_.bad_links_.add();
            return close(Evidence::Stalled);
        }
        if (phase_ == Phase::Closed) return;
        if (phase_ == Phase::Up) {
            if (reader_.empty()) {
                timeout_.cancel();
                at_frame_boundary_ = true;
            } else if (std::exchange(at_frame_boundary_, false)) {
                timeout_.set(peers_.loop_.now() + kFrameTimeout, [self = shared_from_this()] {
                    self->peers_.bad_links_.add();
                    self->close(Evidence::Stalled);
                });
            }
        }
        read();
    }
    void accept_hello(const fleet::Hello& hello) {
        if (phase_ != Phase::Handshaking) throw framing::FrameError("duplicate hello");
        if (hello.fleet != peers_.options_.name) throw framing::FrameError("hello of another fleet");
        if (hello.newest < fleet::kOldestWireVersion || hello.oldest > fleet::kNewestWireVersion)
            throw framing::FrameError("no common wire version");
        id_ = hello.id;
        version_ = hello.version;
        if (!outbound_) address_ = hello.address;
        phase_ = Phase::Up;
        timeout_.cancel();
        peers_.hello_received(*this);
        flush();
    }
    /// Limits the message rate of a peer: a flood would take time from the loop that serves requests.
    void check_message_rate() {
        const Time now = peers_.loop_.now();
        if (now >= rate_window_start_ + 1s) {
            rate_window_start_ = now;
            messages_in_window_ = 0;
        }
        if (++messages_in_window_ > kMaxMessagesPerSecond) throw MessageFlood("message rate limit exceeded");
    }

    Peers& peers_;
    asio::ip::tcp::socket socket_;
    Timer timeout_;
    const bool outbound_;
    Phase phase_ = Phase::Connecting, phase_at_close_ = Phase::Connecting;
    bool writing_ = false, closing_announced_ = false, at_frame_boundary_ = true;
    SendQueue queue_;
    framing::FrameReader reader_;
    std::string address_, version_, out_;
    Id id_;
    Time last_used_, ping_unanswered_since_{}, rate_window_start_{};
    std::size_t messages_in_window_ = 0;
    std::uint64_t bytes_in_ = 0, bytes_out_ = 0;
    std::array<char, 16 * 1024> chunk_{};
};

Peers::Peers(EventLoop& loop, const fleet::Options& options, std::string name, std::string zone,
             std::string version, Counters& counters)
    : loop_(loop),
      options_(options),
      name_(std::move(name)),
      zone_(std::move(zone)),
      version_(std::move(version)),
      listen_(*parse_address(options.listen)),
      acceptor_(loop.io()),
      tick_(loop),
      listen_retry_(loop),
      leave_(loop),
      bytes_in_(counters.counter("fleet.bytes_in", "bytes read on links to other sidecars")),
      bytes_out_(counters.counter("fleet.bytes_out", "bytes written on links to other sidecars")),
      links_opened_(counters.counter("fleet.links_opened", "links that this process dialled")),
      links_refused_(counters.counter("fleet.links_refused", "links that had no room or no leave")),
      messages_dropped_(counters.counter("fleet.dropped", "messages that found no room on a link")),
      bad_links_(counters.counter("fleet.bad_links", "links closed for what came on them")) {
    listens_on_any_address_ = listen_.address().is_unspecified();
    const auto count = [this](auto read) {
        return [this, read] { return fleet_ ? static_cast<double>(read(*fleet_)) : 0.0; };
    };
    counters.gauge("fleet.members", "live members, this one among them",
                   count([](const fleet::Fleet& f) { return f.live_count(); }));
    counters.gauge("fleet.health", "0 is sound; its patience is stretched by so much",
                   count([](const fleet::Fleet& f) { return f.health_score(); }));
    counters.gauge("fleet.stalls", "times that this process stood still",
                   count([](const fleet::Fleet& f) { return f.stats().stalls; }));
    counters.gauge("fleet.refutations", "times that it was suspected and was not dead",
                   count([](const fleet::Fleet& f) { return f.stats().refutations; }));
    counters.gauge("fleet.deaths", "members that it came to hold dead",
                   count([](const fleet::Fleet& f) { return f.stats().deaths; }));
    counters.gauge("fleet.links", "links that are up", [this] { return static_cast<double>(links_.size()); });
}

Peers::~Peers() {
    pumping_ = true;  // prevents further sends
    while (!links_.empty()) links_.front()->close(Evidence::Silent);
}

void Peers::start(bool successor) {
    successor_ = successor;
    listen();
}

void Peers::listen() {
    error_code error;
    acceptor_.open(listen_.protocol(), error);
    if (!error) acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error) acceptor_.bind(listen_, error);
    // During a handover both processes run, and the old one holds the port.
    if (error && successor_) acceptor_.bind({listen_.address(), 0}, error);
    if (!error) acceptor_.listen(kBacklog, error);
    if (error) {
        // Not fatal: requests are served without a fleet too.
        if (!std::exchange(listen_failure_logged_, true))
            martenford::log_event(Event::FleetCannotListen, fmt::format("fleet: can't listen at {}: {}",
                                                                        options_.listen, error.message()));
        error_code ignored;
        acceptor_.close(ignored);
        return listen_retry_.set(loop_.now() + kListenRetryDelay, [this] { listen(); });
    }
    acceptor_.non_blocking(true, error);
    const Address at = acceptor_.local_endpoint(error);
    // A successor that found the port taken advertises the port that it got.
    const bool moved = listen_.port() != 0 && at.port() != listen_.port();
    std::string address = text_of(at);
    if (const auto advertised = parse_address(options_.advertise))
        address = text_of(
            {advertised->address(), advertised->port() == 0 || moved ? at.port() : advertised->port()});
    martenford::log_event(Event::FleetListening, fmt::format("fleet '{}': listens at {} as {}", options_.name,
                                                             text_of(at), address));
    fleet_.emplace(options_.protocol, options_.seeds,
                   fleet::LocalMember{{name_, random_id()}, address, zone_, version_, successor_},
                   random_id());
    accept();
    fleet_->start(loop_.now());
    pump();
}

void Peers::leave() {
    if (!fleet_) return listen_retry_.cancel();
    fleet_->leave(loop_.now());
    pump();
}

bool Peers::permitted(const Address& from) const {
    if (options_.permitted.empty()) return from.address().is_loopback();
    return std::find(options_.permitted.begin(), options_.permitted.end(), from.address().to_string()) !=
           options_.permitted.end();
}

void Peers::accept() {
    acceptor_.async_accept([this](const error_code& error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (error) return listen_retry_.set(loop_.now() + kAcceptRetryDelay, [this] { accept(); });
        error_code bad;
        const Address from = socket.remote_endpoint(bad);
        const Time now = loop_.now();
        std::erase_if(banned_, [&](const auto& entry) { return entry.second <= now; });
        if (bad || !permitted(from) || banned_.contains(from.address())) {
            links_refused_.add();
        } else if (!make_room()) {
            links_refused_.add();
            reject(socket);
        } else {
            limit_socket_buffers(socket);
            const auto link = std::make_shared<Link>(*this, std::move(socket), false);
            links_.push_back(link);
            link->send_hello();
        }
        accept();
    });
}

/// Tells a peer for which there is no room that this member is alive. Written as far as the socket accepts it
/// at once; nothing waits for it.
void Peers::reject(asio::ip::tcp::socket& socket) {
    const fleet::LocalMember& self = fleet_->self();
    Message notice;
    notice.kind = Message::Kind::LinkClosing;
    const std::string frames =
        fleet::frame_of(fleet::Hello{options_.name, self.id, self.address, self.version}) +
        fleet::frame_of(notice);
    error_code ignored;
    socket.non_blocking(true, ignored);
    socket.write_some(asio::buffer(frames), ignored);
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

/// Closes the link that was idle longest, if the limit is reached. Links that are not yet up are kept.
bool Peers::make_room() {
    if (links_.size() < options_.max_links) return true;
    std::shared_ptr<Link> idlest;
    for (const auto& link : links_) {
        if (link->phase() == Link::Phase::Up && link->queue().empty() &&
            (!idlest || link->last_used() < idlest->last_used()))
            idlest = link;
    }
    if (!idlest) return false;
    idlest->announce_and_close();
    return true;
}

void Peers::pump() {
    if (std::exchange(pumping_, true)) return;  // the outer call continues
    for (bool more = true; more;) {
        more = false;
        for (fleet::Fleet::Outgoing& each : fleet_->take_outgoing()) {
            more = true;
            send(std::move(each));
        }
        for (const fleet::FleetEvent& each : fleet_->take_events()) report(each);
        for (fleet::StateChange& each : fleet_->take_state_changes()) {
            state_changes_.push_back({++last_state_change_, loop_.now(), std::move(each)});
            if (state_changes_.size() > kMaxStateChanges) state_changes_.pop_front();
        }
    }
    pumping_ = false;
    tick_.set(fleet_->next_tick(), [this] {
        fleet_->tick(loop_.now());
        pump();
    });
}

std::shared_ptr<Peers::Link> Peers::link_to(const std::string& address) {
    std::shared_ptr<Link> link;
    if (const auto it = by_address_.find(address); it != by_address_.end()) link = it->second.lock();
    if (link && link->unresponsive()) {
        link->announce_and_close();
        link.reset();
    }
    if (link && link->phase() != Link::Phase::Closed && !link->closing_announced()) return link;
    link = find_open_link(address);
    return link ? link : dial(address);
}

void Peers::send(fleet::Fleet::Outgoing&& outgoing) {
    if (const auto link = link_to(outgoing.address)) {
        link->put(outgoing.message);
    } else {
        fleet_->send_failed(loop_.now(), outgoing.message);
    }
}

void Peers::send_payload(const std::string& address, std::string bytes) {
    if (!fleet_) return;
    if (const auto link = link_to(address)) link->put(fleet::Payload{std::move(bytes)});
}

/// Two members that dialled each other at the same time have two links. When one ends, the other serves as
/// well.
std::shared_ptr<Peers::Link> Peers::find_open_link(const std::string& address) {
    for (const auto& link : links_) {
        if (link->phase() != Link::Phase::Up || link->closing_announced() || link->address() != address)
            continue;
        by_address_[address] = link;
        return link;
    }
    return nullptr;
}

std::shared_ptr<Peers::Link> Peers::dial(const std::string& address) {
    const auto where = parse_address(address);
    if (!where || !make_room()) return nullptr;
    links_opened_.add();
    const auto link = std::make_shared<Link>(*this, asio::ip::tcp::socket(loop_.io()), true);
    links_.push_back(link);
    by_address_[address] = link;
    link->connect(address, *where);
    return link;
}

void Peers::hello_received(Link& link) {
    fleet_->set_connected(link.id(), true);
    if (link.outbound()) {
        fleet_->peer_identified(loop_.now(), link.address(), link.id());
    } else {
        auto& place = by_address_[link.address()];
        const auto other = place.lock();
        if (!other || other->phase() == Link::Phase::Closed || other->closing_announced())
            place = link.weak_from_this();
    }
    pump();
}

void Peers::message_received(Link& link, const Message& message) {
    fleet_->receive(loop_.now(), link.id(), link.address(), message);
    pump();
}

void Peers::link_closed(Link& link, Evidence evidence) {
    const auto self = link.shared_from_this();
    links_.remove(self);
    const auto it = by_address_.find(link.address());
    const bool written_to = it != by_address_.end() && it->second.lock() == self;
    if (written_to) by_address_.erase(it);
    if (fleet_ && link.phase_at_close() == Link::Phase::Up) {
        // There may be a second link, if both members dialled at the same time.
        const bool other = std::any_of(links_.begin(), links_.end(), [&](const auto& each) {
            return each->phase() == Link::Phase::Up && each->id() == link.id();
        });
        if (!other) fleet_->set_connected(link.id(), false);
    }
    if (!fleet_ || link.closing_announced() || link.address().empty()) return;
    if (link.phase_at_close() == Link::Phase::Up) {
        fleet_->link_lost(loop_.now(), link.address());
    } else if (link.outbound()) {
        fleet_->connect_failed(loop_.now(), link.address(), evidence);
    }
    pump();
}

// ---- reports to operators ---------------------------------------------------------------------------

void Peers::report(const fleet::FleetEvent& fleet_event) {
    std::string who;
    for (std::size_t i = 0; i < fleet_event.subjects.size() && i < kMaxNamedMembers; ++i)
        who += (i ? "," : "") + fleet_event.subjects[i].name;
    if (fleet_event.subjects.size() > kMaxNamedMembers)
        who += fmt::format(" and {} more", fleet_event.subjects.size() - kMaxNamedMembers);
    std::string line = fmt::format("{} {}", name_of(fleet_event.kind), who);
    if (fleet_event.kind == fleet::FleetEvent::Kind::MassLoss)
        line = fmt::format("{} {} of {}: {}", name_of(fleet_event.kind), fleet_event.subjects.size(),
                           fleet_event.live_before, who);
    if (!fleet_event.detail.empty()) line += fmt::format(" ({})", fleet_event.detail);
    events_.emplace_back(++last_event_, line);
    if (events_.size() > kMaxEvents) events_.pop_front();
    log_event(fleet_event, "fleet: " + line);
}

std::string Peers::members() const {
    std::string text;
    const Time now = loop_.now();
    for (const fleet::MemberView& view : fleet_->members()) {
        const bool self = view.id == fleet_->self().id;
        text += fmt::format(
            "name={} boot={:016x} address={} zone={} version={} incarnation={} state={} for_s={:.1f} "
            "by={}{}{}{}\n",
            view.id.name, view.id.boot, view.address, view.zone, view.version, view.incarnation,
            name_of(view.state), self ? 0.0 : static_cast<double>((now - view.since) / 1ms) / 1000.0,
            view.reported_by, view.name_conflict ? " doubled=1" : "",
            view.stalled_ms ? fmt::format(" stood_ms={}", view.stalled_ms) : "",
            self
                ? fmt::format(
                      " self=1 in={} out={} health={} distrusts_itself={} deaths={} refutations={} stalls={}",
                      bytes_in_.value(), bytes_out_.value(), fleet_->health_score(),
                      fleet_->recovering_from_stall() ? 1 : 0, fleet_->stats().deaths,
                      fleet_->stats().refutations, fleet_->stats().stalls)
                : "");
    }
    return text;
}

std::string Peers::links() const {
    constexpr const char* kPhases[] = {"connecting", "greeting", "up", "ended"};
    std::string text;
    for (const auto& link : links_) {
        text += fmt::format(
            "address={} name={} dialled={} state={} idle_s={:.1f} in={} out={} queued={} dropped={} "
            "replaced={}\n",
            link->address(), link->id().name, link->outbound() ? 1 : 0,
            kPhases[static_cast<std::size_t>(link->phase())],
            static_cast<double>((loop_.now() - link->last_used()) / 1ms) / 1000.0, link->bytes_in(),
            link->bytes_out(), link->queue().bytes(), link->queue().dropped(), link->queue().replaced());
    }
    return text;
}

std::string Peers::events(std::uint64_t since) const {
    std::string text;
    for (const auto& [number, line] : events_) {
        if (number > since) text += fmt::format("number={} {}\n", number, line);
    }
    return text;
}

std::string Peers::state_changes(std::uint64_t since) const {
    std::string text;
    for (const NumberedStateChange& each : state_changes_) {
        if (each.number <= since) continue;
        text += fmt::format("number={} at_ns={} name={} boot={:016x} state={}\n", each.number,
                            each.at.time_since_epoch().count(), each.change.id.name, each.change.id.boot,
                            name_of(each.change.state));
    }
    return text;
}

std::optional<std::string> Peers::answer(std::string_view line) const {
    if (!line.starts_with("fleet ")) return std::nullopt;
    if (!fleet_) return "";
    line.remove_prefix(6);
    if (line == "members") return members();
    if (line == "links") return links();
    const auto number = [&line](std::size_t from) {
        return std::strtoull(std::string(line.substr(from)).c_str(), nullptr, 10);
    };
    if (line.starts_with("events ")) return events(number(7));
    if (line.starts_with("turns ")) return state_changes(number(6));
    return std::nullopt;
}

}  // namespace martenford::peers
