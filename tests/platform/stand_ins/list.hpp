#pragma once
// The platform's list of replicas: late, in pages, at a limited rate.
#include "replica.hpp"

namespace dockrock::platform_stand_in {

struct ListOptions {
    Milliseconds lag = 800;
    std::int64_t page = 50;
    double per_second = 47.0;
    bool down = false;
};
constexpr auto list_fields = std::tuple(
    field("lagMs", &ListOptions::lag), field("page", &ListOptions::page), field("perS", &ListOptions::per_second),
    field("down", &ListOptions::down));

struct Listed {
    std::string id, service, address, zone, software, model;
    std::int64_t version = 1, slots = 0;
    bool draining = false;
};
auto listed(Replica const& replica) -> Listed;

struct ReplicaList {
    ListOptions options;
    std::vector<Listed> entries;  // as they are now
    std::deque<std::pair<Milliseconds, std::vector<Listed>>> history;
    std::deque<Milliseconds> calls;

    auto put(Listed const& entry) -> void;
    auto remove(std::string const& id) -> void;
    auto change() -> void { history.emplace_back(now(), entries); }
    auto shown(Milliseconds at) const -> std::vector<Listed>;
    auto answer(std::string const& target, Milliseconds at) -> std::pair<std::int64_t, json::object>;
};

}  // namespace dockrock::platform_stand_in
