// Builds against the installed package alone and gets one decision out of it.
#include <loftfront/balancer.h>

#include <iostream>

int main() {
    loftfront::Settings settings;
    settings.classes.resize(1);
    settings.classes[0].deadline = std::chrono::seconds(1);
    loftfront::Balancer balancer(settings, 1);
    std::vector<loftfront::Action> actions;
    const loftfront::Time now{};
    balancer.start(now, actions);
    auto endpoints = std::make_shared<loftfront::EndpointList>(1);
    balancer.handle(now, loftfront::Discovered{loftfront::Discovered::Kind::Full, endpoints}, actions);
    loftfront::Request request;
    request.id = "r";
    request.deadline = now + std::chrono::seconds(1);
    balancer.handle(now, request, actions);
    const bool sent = !actions.empty() && std::holds_alternative<loftfront::Send>(actions.front());
    std::cout << (sent ? "consumer: one request sent\n" : "consumer: nothing was sent\n");
    return sent ? 0 : 1;
}
