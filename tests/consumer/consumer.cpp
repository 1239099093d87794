// Builds against the installed package only, and gets one decision from the library.
#include <martenford/decision/balancer.h>

#include <iostream>

int main() {
    martenford::decision::Settings settings;
    settings.classes.resize(1);
    settings.classes[0].deadline = std::chrono::seconds(1);
    martenford::decision::Balancer balancer(settings, 1);
    std::vector<martenford::decision::Action> actions;
    const martenford::decision::Time now{};
    balancer.start(now, actions);
    auto endpoints = std::make_shared<martenford::decision::EndpointList>(1);
    balancer.handle(
        now,
        martenford::decision::DiscoveryUpdate{martenford::decision::DiscoveryUpdate::Kind::Full, endpoints},
        actions);
    martenford::decision::Request request;
    request.id = "r";
    request.deadline = now + std::chrono::seconds(1);
    balancer.handle(now, request, actions);
    const bool sent = !actions.empty() && std::holds_alternative<martenford::decision::Send>(actions.front());
    std::cout << (sent ? "consumer: one request sent\n" : "consumer: nothing was sent\n");
    return sent ? 0 : 1;
}
