#include "host.h"

#include <exception>
#include <istream>
#include <ostream>
#include <utility>

namespace martenford::decision::wire {

std::string Host::reply(const std::string& line) {
    // The whole batch is parsed before any of it is executed: malformed input gives no partial reply.
    const Batch batch = reader_.read(line);
    Writer writer(batch.round);
    std::vector<Action> actions;
    for (const Message& message : batch.messages) {
        actions.clear();
        try {
            if (const auto* provision = std::get_if<Provision>(&message.body)) {
                Balancer fresh(provision->settings, provision->seed);
                fresh.start(batch.clock, actions);
                balancers_.insert_or_assign(message.instance, std::move(fresh));
            } else if (std::holds_alternative<Stop>(message.body)) {
                balancers_.erase(message.instance);
            } else {
                balancers_.at(message.instance).handle(batch.clock, std::get<Event>(message.body), actions);
            }
            for (const Action& action : actions) writer.write(message.instance, action);
        } catch (const std::exception& error) {
            writer.write_error(message.instance, error.what());
        }
    }
    return std::move(writer).finish();
}

int serve(std::istream& in, std::ostream& out, std::ostream& err) {
    Host host;
    std::string line;
    while (std::getline(in, line)) {
        try {
            out << host.reply(line) << '\n' << std::flush;
        } catch (const WireError& error) {
            err << "martenford_adapter: " << error.what() << '\n';
            return 1;
        }
    }
    return 0;
}

}  // namespace martenford::decision::wire
