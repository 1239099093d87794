#include "emulator/relay_net.h"

#include <unistd.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <optional>

#include "framing/frame.h"

namespace martenford::emulator {

using boost::system::error_code;
using Socket = asio::ip::tcp::socket;

namespace {

constexpr std::uint32_t kMostMembers = 510;
constexpr Duration kReorderBy = 30ms;
constexpr std::size_t kMostHeld = 4 << 20;  // bytes on one way; over it the sender is not read

/// A kibi of addresses in 127.64/10 for each process of ours, by its id: plays side by side must not meet.
/// The first half is where members listen and dial from, the second what they advertise.
std::uint32_t first_address() {
    const auto own = static_cast<std::uint32_t>(::getpid()) % 4096;
    return 0x7f400001 + (own << 10);
}
asio::ip::address_v4 host(std::size_t member) {
    return asio::ip::address_v4(first_address() + static_cast<std::uint32_t>(member));
}
asio::ip::address_v4 relay(std::size_t member) {
    return asio::ip::address_v4(first_address() + 512 + static_cast<std::uint32_t>(member));
}

}  // namespace

struct RelayNet::Member {
    explicit Member(EventLoop& loop) : acceptor(loop.io()) {}
    asio::ip::tcp::acceptor acceptor;
    std::uint16_t port = 0;  // the relay's, kept over restarts
    Address target;
    bool up = false;
};

/// One link: two ways, each with the faults of its pair.
class RelayNet::Wire : public std::enable_shared_from_this<RelayNet::Wire> {
  public:
    Wire(RelayNet& net, std::size_t from, std::size_t to, Socket near, Socket far)
        : net_(net),
          ways_{Way(net.loop_, from, to, std::move(near)), Way(net.loop_, to, from, std::move(far))} {}

    void start(const Address& target) {
        // A cut either way: the handshake does not get through.
        if (net_.faults(ways_[0].from, ways_[0].to).cut || net_.faults(ways_[1].from, ways_[1].to).cut) {
            waiting_for_ = target;
            return;
        }
        waiting_for_.reset();
        error_code ignored;
        ways_[1].socket.bind({host(ways_[0].from), 0}, ignored);  // as the one that dials
        ways_[1].socket.async_connect(target, [self = shared_from_this()](const error_code& error) {
            if (self->over_) return;
            if (error) return self->end(true);
            for (Way& way : self->ways_) {
                error_code ignored;
                way.socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            }
            self->read(0);
            self->read(1);
        });
    }
    void mended() {
        if (over_) return;
        if (waiting_for_) return start(*waiting_for_);
        for (std::size_t i = 0; i < 2; ++i) {
            read(i);
            deliver(i);
        }
    }
    void end(bool reset) {
        if (std::exchange(over_, true)) return;
        const auto self = shared_from_this();
        for (Way& way : ways_) {
            error_code ignored;
            if (reset) way.socket.set_option(asio::socket_base::linger(true, 0), ignored);
            way.socket.close(ignored);
            way.timer.cancel();
        }
        net_.wires_.erase(self);
    }
    bool joins(std::size_t a, std::size_t b) const {
        return (ways_[0].from == a && ways_[0].to == b) || (ways_[0].from == b && ways_[0].to == a);
    }

  private:
    struct Way {
        Way(EventLoop& loop, std::size_t from, std::size_t to, Socket socket)
            : from(from), to(to), socket(std::move(socket)), timer(loop) {}
        std::size_t from, to;
        Socket socket;  // of `from`
        Timer timer;
        framing::FrameReader reader;
        std::deque<std::pair<Time, std::string>> held;
        std::size_t bytes = 0;
        Time last{}, free{};
        std::string out;
        bool reading = false, writing = false, closed = false;
        std::array<char, 16 * 1024> chunk{};
    };

    bool cut(const Way& way) const { return net_.faults(way.from, way.to).cut; }
    void read(std::size_t i) {
        Way& way = ways_[i];
        if (way.reading || way.closed || over_ || way.bytes > kMostHeld || cut(way)) return;
        way.reading = true;
        way.socket.async_read_some(asio::buffer(way.chunk),
                                   [self = shared_from_this(), i](const error_code& error, std::size_t size) {
                                       Way& way = self->ways_[i];
                                       way.reading = false;
                                       if (self->over_) return;
                                       if (error) {
                                           way.closed = true;
                                           if (way.held.empty() && !self->cut(way))
                                               self->end(error == asio::error::connection_reset);
                                           return;
                                       }
                                       self->take(way, {way.chunk.data(), size});
                                       if (self->over_) return;
                                       self->deliver(i);
                                       self->read(i);
                                   });
    }
    void take(Way& way, std::string_view bytes) {
        const LinkFaults& faults = net_.faults(way.from, way.to);
        const Time now = net_.loop_.now();
        way.reader.feed(bytes);
        while (const auto message = way.reader.next()) {
            std::string frame = framing::encode_frame(*message);
            ++net_.frames_;
            net_.bytes_ += frame.size();
            if (faults.reset > 0.0 && net_.chance() < faults.reset) return end(true);
            if (faults.drop > 0.0 && net_.chance() < faults.drop) continue;
            if (faults.most_frame > 0 && frame.size() > faults.most_frame) continue;
            if (faults.corrupt > 0.0 && net_.chance() < faults.corrupt)
                frame[net_.random_() % frame.size()] ^= 0x10;
            Time when = now + faults.delay;
            if (faults.jitter > Duration{})
                when += Duration{
                    static_cast<Duration::rep>(net_.chance() * static_cast<double>(faults.jitter.count()))};
            if (faults.bytes_a_second > 0) {
                way.free = std::max(way.free, now) +
                           Duration{static_cast<Duration::rep>(1e9 * static_cast<double>(frame.size()) /
                                                               static_cast<double>(faults.bytes_a_second))};
                when = std::max(when, way.free);
            }
            // A stream keeps its order, but for what is to come out of order.
            const bool late = faults.reorder > 0.0 && net_.chance() < faults.reorder;
            if (late) {
                when += kReorderBy;
            } else {
                when = way.last = std::max(when, way.last);
            }
            const int times = faults.duplicate > 0.0 && net_.chance() < faults.duplicate ? 2 : 1;
            for (int n = 0; n < times; ++n) {
                way.bytes += frame.size();
                const auto place =
                    std::upper_bound(way.held.begin(), way.held.end(), when,
                                     [](Time t, const auto& entry) { return t < entry.first; });
                way.held.insert(place, {when, frame});
            }
        }
    }
    void deliver(std::size_t i) {
        Way& way = ways_[i];
        if (over_ || way.writing || cut(way)) return;
        const Time now = net_.loop_.now();
        way.out.clear();
        while (!way.held.empty() && way.held.front().first <= now) {
            way.out += way.held.front().second;
            way.bytes -= way.held.front().second.size();
            way.held.pop_front();
        }
        if (way.out.empty()) {
            if (way.held.empty()) {
                if (way.closed) end(false);
                return;
            }
            way.timer.set(way.held.front().first, [self = shared_from_this(), i] { self->deliver(i); });
            return;
        }
        way.writing = true;
        asio::async_write(ways_[1 - i].socket, asio::buffer(way.out),
                          [self = shared_from_this(), i](const error_code& error, std::size_t) {
                              self->ways_[i].writing = false;
                              if (self->over_) return;
                              if (error) return self->end(true);
                              self->deliver(i);
                              self->read(i);
                          });
    }

    RelayNet& net_;
    std::array<Way, 2> ways_;
    std::optional<Address> waiting_for_;
    bool over_ = false;
};

RelayNet::RelayNet(EventLoop& loop, std::uint64_t seed) : loop_(loop), random_(seed) {}

RelayNet::~RelayNet() {
    while (!wires_.empty()) (*wires_.begin())->end(true);
}

std::string RelayNet::host_of(std::size_t member) {
    return host(member).to_string();
}

RelayNet::Member& RelayNet::member(std::size_t index) {
    auto& place = members_[index];
    if (!place) {
        place = std::make_unique<Member>(loop_);
        // The port is the system's choice, and is taken again when the member is back.
        asio::ip::tcp::acceptor probe(loop_.io(), {relay(index), 0});
        place->port = probe.local_endpoint().port();
    }
    return *place;
}

std::string RelayNet::advertised(std::size_t index) {
    return text_of({relay(index), member(index).port});
}

void RelayNet::up(std::size_t index, const Address& target) {
    Member& m = member(index);
    m.target = target;
    if (std::exchange(m.up, true)) return;
    const Address where{relay(index), m.port};
    m.acceptor.open(where.protocol());
    m.acceptor.set_option(asio::socket_base::reuse_address(true));
    m.acceptor.bind(where);
    m.acceptor.listen(512);
    accept(index);
}

void RelayNet::down(std::size_t index) {
    Member& m = member(index);
    if (!std::exchange(m.up, false)) return;
    error_code ignored;
    m.acceptor.close(ignored);
}

void RelayNet::accept(std::size_t index) {
    member(index).acceptor.async_accept([this, index](const error_code& error, Socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (!error) {
            error_code bad;
            const auto from = socket.remote_endpoint(bad).address().to_v4().to_uint();
            if (const auto first = first_address(); !bad && from >= first && from < first + kMostMembers) {
                const auto wire = std::make_shared<Wire>(*this, from - first, index, std::move(socket),
                                                         Socket(loop_.io(), asio::ip::tcp::v4()));
                wires_.insert(wire);
                wire->start(member(index).target);
            }
        }
        accept(index);
    });
}

void RelayNet::mended() {
    const auto all = wires_;
    for (const auto& wire : all) wire->mended();
}

void RelayNet::each_pair(const std::set<std::size_t>& from, const std::set<std::size_t>& to,
                         const std::function<void(LinkFaults&)>& what) {
    for (const std::size_t a : from) {
        for (const std::size_t b : to) {
            if (a != b) what(faults(a, b));
        }
    }
    mended();
}

void RelayNet::heal() {
    for (auto& [pair, faults] : faults_) faults = {};
    mended();
}

void RelayNet::reset(std::size_t a, std::size_t b) {
    const auto all = wires_;
    for (const auto& wire : all) {
        if (wire->joins(a, b)) wire->end(true);
    }
}

}  // namespace martenford::emulator
