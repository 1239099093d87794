#include "peers/peers.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <random>
#include <utility>

#include "core/events.h"
#include "framing/frame.h"

namespace martenford::peers {

using boost::system::error_code;
using fleet::Evidence;
using fleet::Id;
using fleet::Message;

namespace {

constexpr Duration kConnectTime = 1s;  // for a link to come up: a path that drops packets says nothing
constexpr Duration kGreetTime = 1s;    // for the other side's hello; a stalled process says nothing either
constexpr Duration kFrameTime = 2s;    // for the rest of a frame: a damaged length would wait for ever
constexpr Duration kNoWord = 5s;       // asked for so long without a byte in answer, a link is dialled anew
constexpr Duration kListenAgain = 1s;
constexpr Duration kAcceptAgain = 50ms;  // after running out of descriptors
constexpr std::size_t kWriteAtOnce = 64 * 1024;
constexpr std::size_t kMostMessages = 2000;  // a second and link; a fleet of 300 that starts at once sends 50
constexpr Duration kShun = 5s;               // whoever floods is not heard for so long
constexpr std::size_t kMostShunned = 256;
constexpr std::size_t kMostEvents = 256;  // that can be read again
constexpr std::size_t kMostTurns = 1024;
constexpr std::size_t kMostNamed = 5;  // members by name in one line
constexpr int kBacklog = 512;          // all of a fleet may dial one member at once

/// What is no accident: whoever does so is not heard for a while.
struct Flood : framing::FrameError {
    using FrameError::FrameError;
};

void tell_people(const fleet::Change& change, const std::string& line) {
    using What = fleet::Change::What;
    constexpr std::pair<What, Event> kEvents[] = {
        {What::Joined, Event::FleetJoined},       {What::Left, Event::FleetLeft},
        {What::Died, Event::FleetDied},           {What::LostAtOnce, Event::FleetMassLoss},
        {What::Returned, Event::FleetReturned},   {What::Doubled, Event::FleetDuplicateName},
        {What::Stood, Event::FleetProcessPaused}, {What::Accused, Event::FleetSuspicionRefuted}};
    const Event event = std::find_if(std::begin(kEvents), std::end(kEvents), [&](const auto& e) {
                            return e.first == change.what;
                        })->second;
    if (change.who.size() == 1)
        return log_event(
            event, line,
            {{"member", change.who[0].name}, {"boot", fmt::format("{:016x}", change.who[0].boot)}});
    log_event(event, line,
              {{"members", std::to_string(change.who.size())}, {"of", std::to_string(change.of)}});
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
    enum class Phase { Connecting, Greeting, Up, Ended };

    Link(Peers& peers, asio::ip::tcp::socket socket, bool outbound)
        : peers_(peers),
          socket_(std::move(socket)),
          limit_(peers.loop_),
          outbound_(outbound),
          queue_(peers.options_.most_queued),
          used_(peers.loop_.now()) {}

    void connect(const std::string& address, const Address& where) {
        address_ = address;
        limit_.set(peers_.loop_.now() + kConnectTime,
                   [self = shared_from_this()] { self->end(Evidence::Silent); });
        error_code error;
        socket_.open(where.protocol(), error);
        // From the address that it listens on, so that others can tell whose link this is.
        if (!error && !peers_.listens_anywhere_) socket_.bind({peers_.listen_.address(), 0}, error);
        if (error) {
            limit_.set(peers_.loop_.now(), [self = shared_from_this()] { self->end(Evidence::Silent); });
            return;
        }
        socket_.async_connect(where, [self = shared_from_this()](const error_code& error) {
            if (self->phase_ != Phase::Connecting) return;
            if (!error) return self->greet();
            self->end(error == asio::error::connection_refused ? Evidence::Gone : Evidence::Silent);
        });
    }
    void greet() {
        phase_ = Phase::Greeting;
        error_code ignored;
        socket_.non_blocking(true, ignored);
        socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
        limit_.set(peers_.loop_.now() + kGreetTime,
                   [self = shared_from_this()] { self->end(Evidence::Stalled); });
        const fleet::Self& self = peers_.fleet_->self();
        out_ = fleet::frame_of(fleet::Hello{peers_.options_.name, self.id, self.address, self.version});
        write();
        read();
    }
    void put(const Message& message) {
        used_ = peers_.loop_.now();
        if (phase_ == Phase::Up && message.kind == Message::Kind::Ping && asked_ == Time{}) asked_ = used_;
        const auto dropped = queue_.dropped();
        queue_.put(message);
        peers_.dropped_.add(queue_.dropped() - dropped);
        flush();
    }
    void put(const fleet::Carried& carried) {
        used_ = peers_.loop_.now();
        const auto dropped = queue_.dropped();
        queue_.put(carried);
        peers_.dropped_.add(queue_.dropped() - dropped);
        flush();
    }
    void bye() {
        Message bye;
        bye.kind = Message::Kind::Bye;
        // At once, as far as the socket takes it: nothing waits for it.
        const std::string frame = fleet::frame_of(bye);
        error_code ignored;
        if (phase_ == Phase::Up && !writing_) socket_.write_some(asio::buffer(frame), ignored);
        parted_ = true;
        end(Evidence::Silent);
    }
    void end(Evidence evidence) {
        if (phase_ == Phase::Ended) return;
        const auto self = shared_from_this();
        limit_.cancel();
        error_code ignored;
        socket_.close(ignored);
        ended_in_ = std::exchange(phase_, Phase::Ended);
        peers_.ended(*this, evidence);
    }

    Phase phase() const { return phase_; }
    Phase ended_in() const { return ended_in_; }
    bool outbound() const { return outbound_; }
    bool parted() const { return parted_; }
    const std::string& address() const { return address_; }
    const Id& id() const { return id_; }
    const std::string& version() const { return version_; }
    Time used() const { return used_; }
    /// Guards against a connection that stands and carries nothing, as after a machine's loss.
    bool mute() const { return asked_ != Time{} && peers_.loop_.now() > asked_ + kNoWord; }
    const Queue& queue() const { return queue_; }
    std::uint64_t bytes_in() const { return bytes_in_; }
    std::uint64_t bytes_out() const { return bytes_out_; }

  private:
    void flush() {
        if (writing_ || phase_ != Phase::Up || queue_.empty()) return;
        out_ = queue_.take(kWriteAtOnce);
        write();
    }
    void write() {
        writing_ = true;
        asio::async_write(socket_, asio::buffer(out_),
                          [self = shared_from_this()](const error_code& error, std::size_t size) {
                              self->writing_ = false;
                              self->bytes_out_ += size;
                              self->peers_.bytes_out_.add(size);
                              if (self->phase_ == Phase::Ended) return;
                              if (error) return self->end(Evidence::Stalled);
                              self->flush();
                          });
    }
    void read() {
        socket_.async_read_some(asio::buffer(chunk_),
                                [self = shared_from_this()](const error_code& error, std::size_t size) {
                                    if (self->phase_ == Phase::Ended) return;
                                    if (error) return self->end(Evidence::Stalled);
                                    self->bytes_in_ += size;
                                    self->asked_ = {};
                                    self->peers_.bytes_in_.add(size);
                                    self->take({self->chunk_.data(), size});
                                });
    }
    void take(std::string_view bytes) {
        const auto self = shared_from_this();
        try {
            reader_.feed(bytes);
            while (phase_ != Phase::Ended) {
                const auto frame = reader_.next();
                if (!frame) break;
                const fleet::Said said = fleet::read_said(*frame);
                if (const auto* hello = std::get_if<fleet::Hello>(&said)) {
                    greeted(*hello);
                } else {
                    if (phase_ != Phase::Up) throw framing::FrameError("a message before the hello");
                    count();
                    if (const auto* carried = std::get_if<fleet::Carried>(&said)) {
                        used_ = peers_.loop_.now();
                        if (peers_.on_carried_) peers_.on_carried_(id_, address_, carried->bytes);
                        continue;
                    }
                    const auto& message = std::get<Message>(said);
                    used_ = peers_.loop_.now();
                    if (message.kind == Message::Kind::Bye) {
                        parted_ = true;
                        peers_.fleet_->parted(peers_.loop_.now(), id_);
                        peers_.pump();
                    } else {
                        peers_.arrived(*this, message);
                    }
                }
            }
        } catch (const Flood&) {
            error_code ignored;
            const auto from = socket_.remote_endpoint(ignored);
            if (!ignored && peers_.shunned_.size() < kMostShunned)
                peers_.shunned_[from.address()] = peers_.loop_.now() + kShun;
            peers_.bad_.add();
            return end(Evidence::Stalled);
        } catch (const framing::FrameError&) {
            // This link alone: what others say is not touched by it.
            peers_.bad_.add();
            return end(Evidence::Stalled);
        }
        if (phase_ == Phase::Ended) return;
        if (phase_ == Phase::Up) {
            if (reader_.empty()) {
                limit_.cancel();
                whole_ = true;
            } else if (std::exchange(whole_, false)) {
                limit_.set(peers_.loop_.now() + kFrameTime, [self = shared_from_this()] {
                    self->peers_.bad_.add();
                    self->end(Evidence::Stalled);
                });
            }
        }
        read();
    }
    void greeted(const fleet::Hello& hello) {
        if (phase_ != Phase::Greeting) throw framing::FrameError("a second hello");
        if (hello.fleet != peers_.options_.name) throw framing::FrameError("of another fleet");
        if (hello.newest < fleet::kOldestWire || hello.oldest > fleet::kNewestWire)
            throw framing::FrameError("no wire version in common");
        id_ = hello.id;
        version_ = hello.version;
        if (!outbound_) address_ = hello.address;
        phase_ = Phase::Up;
        limit_.cancel();
        peers_.greeted(*this);
        flush();
    }
    /// Guards against a peer that floods: it would take the time of the loop that serves requests.
    void count() {
        const Time now = peers_.loop_.now();
        if (now >= counted_from_ + 1s) {
            counted_from_ = now;
            counted_ = 0;
        }
        if (++counted_ > kMostMessages) throw Flood("too many messages");
    }

    Peers& peers_;
    asio::ip::tcp::socket socket_;
    Timer limit_;
    const bool outbound_;
    Phase phase_ = Phase::Connecting, ended_in_ = Phase::Connecting;
    bool writing_ = false, parted_ = false, whole_ = true;
    Queue queue_;
    framing::FrameReader reader_;
    std::string address_, version_, out_;
    Id id_;
    Time used_, asked_{}, counted_from_{};
    std::size_t counted_ = 0;
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
      again_(loop),
      leave_(loop),
      bytes_in_(counters.counter("fleet.bytes_in", "bytes read on links to other sidecars")),
      bytes_out_(counters.counter("fleet.bytes_out", "bytes written on links to other sidecars")),
      opened_(counters.counter("fleet.links_opened", "links that this process dialled")),
      refused_(counters.counter("fleet.links_refused", "links that had no room or no leave")),
      dropped_(counters.counter("fleet.dropped", "messages that found no room on a link")),
      bad_(counters.counter("fleet.bad_links", "links closed for what came on them")) {
    listens_anywhere_ = listen_.address().is_unspecified();
    const auto count = [this](auto read) {
        return [this, read] { return fleet_ ? static_cast<double>(read(*fleet_)) : 0.0; };
    };
    counters.gauge("fleet.members", "live members, this one among them",
                   count([](const fleet::Fleet& f) { return f.live(); }));
    counters.gauge("fleet.health", "0 is sound; its patience is stretched by so much",
                   count([](const fleet::Fleet& f) { return f.health(); }));
    counters.gauge("fleet.stalls", "times that this process stood still",
                   count([](const fleet::Fleet& f) { return f.figures().stalls; }));
    counters.gauge("fleet.refutations", "times that it was suspected and was not dead",
                   count([](const fleet::Fleet& f) { return f.figures().refutations; }));
    counters.gauge("fleet.deaths", "members that it came to hold dead",
                   count([](const fleet::Fleet& f) { return f.figures().deaths; }));
    counters.gauge("fleet.links", "links that are up", [this] { return static_cast<double>(links_.size()); });
}

Peers::~Peers() {
    pumping_ = true;  // nothing is sent from here on
    while (!links_.empty()) links_.front()->end(Evidence::Silent);
}

void Peers::start(bool heir) {
    heir_ = heir;
    listen();
}

void Peers::listen() {
    error_code error;
    acceptor_.open(listen_.protocol(), error);
    if (!error) acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error) acceptor_.bind(listen_, error);
    // An upgrade's two halves are there at once, and the elder has the port.
    if (error && heir_) acceptor_.bind({listen_.address(), 0}, error);
    if (!error) acceptor_.listen(kBacklog, error);
    if (error) {
        // Requests are served without a fleet: this is no reason not to start.
        if (!std::exchange(said_no_listener_, true))
            martenford::log_event(Event::FleetCannotListen, fmt::format("no place in the fleet: {}: {}",
                                                                        options_.listen, error.message()));
        error_code ignored;
        acceptor_.close(ignored);
        return again_.set(loop_.now() + kListenAgain, [this] { listen(); });
    }
    acceptor_.non_blocking(true, error);
    const Address at = acceptor_.local_endpoint(error);
    // An heir that found the port taken is advertised by the port that it has.
    const bool moved = listen_.port() != 0 && at.port() != listen_.port();
    std::string address = text_of(at);
    if (const auto told = parse_address(options_.advertise))
        address = text_of({told->address(), told->port() == 0 || moved ? at.port() : told->port()});
    martenford::log_event(Event::FleetListening, fmt::format("fleet '{}': listens at {} as {}", options_.name,
                                                             text_of(at), address));
    fleet_.emplace(options_.pace, options_.seeds,
                   fleet::Self{{name_, random_id()}, address, zone_, version_, heir_}, random_id());
    accept();
    fleet_->start(loop_.now());
    pump();
}

void Peers::leave() {
    if (!fleet_) return again_.cancel();
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
        if (error) return again_.set(loop_.now() + kAcceptAgain, [this] { accept(); });
        error_code bad;
        const Address from = socket.remote_endpoint(bad);
        const Time now = loop_.now();
        std::erase_if(shunned_, [&](const auto& entry) { return entry.second <= now; });
        if (bad || !permitted(from) || shunned_.contains(from.address())) {
            refused_.add();
        } else if (!make_room()) {
            refused_.add();
            turn_away(socket);
        } else {
            const auto link = std::make_shared<Link>(*this, std::move(socket), false);
            links_.push_back(link);
            link->greet();
        }
        accept();
    });
}

/// Whoever finds no room is told that somebody is here: as far as the socket takes it, nothing waits for it.
void Peers::turn_away(asio::ip::tcp::socket& socket) {
    const fleet::Self& self = fleet_->self();
    Message bye;
    bye.kind = Message::Kind::Bye;
    const std::string frames =
        fleet::frame_of(fleet::Hello{options_.name, self.id, self.address, self.version}) +
        fleet::frame_of(bye);
    error_code ignored;
    socket.non_blocking(true, ignored);
    socket.write_some(asio::buffer(frames), ignored);
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

/// The link that was idle longest makes room; one that has not come up yet does not.
bool Peers::make_room() {
    if (links_.size() < options_.most_links) return true;
    std::shared_ptr<Link> idlest;
    for (const auto& link : links_) {
        if (link->phase() == Link::Phase::Up && link->queue().empty() &&
            (!idlest || link->used() < idlest->used()))
            idlest = link;
    }
    if (!idlest) return false;
    idlest->bye();
    return true;
}

void Peers::pump() {
    if (std::exchange(pumping_, true)) return;  // whoever is in it goes on
    for (bool more = true; more;) {
        more = false;
        for (fleet::Fleet::Send& each : fleet_->take_sends()) {
            more = true;
            send(std::move(each));
        }
        for (const fleet::Change& each : fleet_->take_changes()) tell(each);
        for (fleet::Turn& each : fleet_->take_turns()) {
            turns_.push_back({++last_turn_, loop_.now(), std::move(each)});
            if (turns_.size() > kMostTurns) turns_.pop_front();
        }
    }
    pumping_ = false;
    tick_.set(fleet_->next(), [this] {
        fleet_->tick(loop_.now());
        pump();
    });
}

std::shared_ptr<Peers::Link> Peers::link_to(const std::string& address) {
    std::shared_ptr<Link> link;
    if (const auto it = by_address_.find(address); it != by_address_.end()) link = it->second.lock();
    if (link && link->mute()) {
        link->bye();
        link.reset();
    }
    if (link && link->phase() != Link::Phase::Ended && !link->parted()) return link;
    link = standing(address);
    return link ? link : dial(address);
}

void Peers::send(fleet::Fleet::Send&& send) {
    if (const auto link = link_to(send.address)) {
        link->put(send.message);
    } else {
        fleet_->unsent(loop_.now(), send.message);
    }
}

void Peers::carry(const std::string& address, std::string bytes) {
    if (!fleet_) return;
    if (const auto link = link_to(address)) link->put(fleet::Carried{std::move(bytes)});
}

/// Two that dialled each other at once have two links; when one ends the other is as good.
std::shared_ptr<Peers::Link> Peers::standing(const std::string& address) {
    for (const auto& link : links_) {
        if (link->phase() != Link::Phase::Up || link->parted() || link->address() != address) continue;
        by_address_[address] = link;
        return link;
    }
    return nullptr;
}

std::shared_ptr<Peers::Link> Peers::dial(const std::string& address) {
    const auto where = parse_address(address);
    if (!where || !make_room()) return nullptr;
    opened_.add();
    const auto link = std::make_shared<Link>(*this, asio::ip::tcp::socket(loop_.io()), true);
    links_.push_back(link);
    by_address_[address] = link;
    link->connect(address, *where);
    return link;
}

void Peers::greeted(Link& link) {
    fleet_->linked(link.id(), true);
    if (link.outbound()) {
        fleet_->found_at(loop_.now(), link.address(), link.id());
    } else {
        auto& place = by_address_[link.address()];
        const auto other = place.lock();
        if (!other || other->phase() == Link::Phase::Ended || other->parted()) place = link.weak_from_this();
    }
    pump();
}

void Peers::arrived(Link& link, const Message& message) {
    fleet_->receive(loop_.now(), link.id(), link.address(), message);
    pump();
}

void Peers::ended(Link& link, Evidence evidence) {
    const auto self = link.shared_from_this();
    links_.remove(self);
    const auto it = by_address_.find(link.address());
    const bool written_to = it != by_address_.end() && it->second.lock() == self;
    if (written_to) by_address_.erase(it);
    if (fleet_ && link.ended_in() == Link::Phase::Up) {
        // Two may dial each other at once: the other link stands.
        const bool other = std::any_of(links_.begin(), links_.end(), [&](const auto& each) {
            return each->phase() == Link::Phase::Up && each->id() == link.id();
        });
        if (!other) fleet_->linked(link.id(), false);
    }
    if (!fleet_ || link.parted() || link.address().empty()) return;
    if (link.ended_in() == Link::Phase::Up) {
        fleet_->link_ended(loop_.now(), link.address());
    } else if (link.outbound()) {
        fleet_->no_link(loop_.now(), link.address(), evidence);
    }
    pump();
}

// ---- what people are told ---------------------------------------------------------------------------

void Peers::tell(const fleet::Change& change) {
    std::string who;
    for (std::size_t i = 0; i < change.who.size() && i < kMostNamed; ++i)
        who += (i ? "," : "") + change.who[i].name;
    if (change.who.size() > kMostNamed) who += fmt::format(" and {} more", change.who.size() - kMostNamed);
    std::string line = fmt::format("{} {}", name_of(change.what), who);
    if (change.what == fleet::Change::What::LostAtOnce)
        line = fmt::format("{} {} of {}: {}", name_of(change.what), change.who.size(), change.of, who);
    if (!change.detail.empty()) line += fmt::format(" ({})", change.detail);
    events_.emplace_back(++last_event_, line);
    if (events_.size() > kMostEvents) events_.pop_front();
    tell_people(change, "fleet: " + line);
}

std::string Peers::members() const {
    std::string text;
    const Time now = loop_.now();
    for (const fleet::View& view : fleet_->members()) {
        const bool self = view.id == fleet_->self().id;
        text += fmt::format(
            "name={} boot={:016x} address={} zone={} version={} incarnation={} state={} for_s={:.1f} "
            "by={}{}{}{}\n",
            view.id.name, view.id.boot, view.address, view.zone, view.version, view.incarnation,
            name_of(view.sight), self ? 0.0 : static_cast<double>((now - view.since) / 1ms) / 1000.0, view.by,
            view.doubled ? " doubled=1" : "",
            view.stalled_ms ? fmt::format(" stood_ms={}", view.stalled_ms) : "",
            self
                ? fmt::format(
                      " self=1 in={} out={} health={} distrusts_itself={} deaths={} refutations={} stalls={}",
                      bytes_in_.value(), bytes_out_.value(), fleet_->health(),
                      fleet_->distrusts_itself() ? 1 : 0, fleet_->figures().deaths,
                      fleet_->figures().refutations, fleet_->figures().stalls)
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
            static_cast<double>((loop_.now() - link->used()) / 1ms) / 1000.0, link->bytes_in(),
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

std::string Peers::turns(std::uint64_t since) const {
    std::string text;
    for (const Turned& each : turns_) {
        if (each.number <= since) continue;
        text += fmt::format("number={} at_ns={} name={} boot={:016x} state={}\n", each.number,
                            each.at.time_since_epoch().count(), each.turn.id.name, each.turn.id.boot,
                            name_of(each.turn.state));
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
    if (line.starts_with("turns ")) return turns(number(6));
    return std::nullopt;
}

}  // namespace martenford::peers
