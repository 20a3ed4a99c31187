#pragma once
// Replicas, requests and the loads that other nodes tell of, of any size.
#include "ticket/scheduler.hpp"

namespace dockrock::hollow {

struct LoadShape {
    std::size_t nodes = 13;
    std::size_t replicas = 18;
    std::size_t models = 1;
    double requests = 35.0;                        // a second at one node
    Microseconds service = 500 * one_millisecond;  // of one request at its replica
    std::int64_t capacity = 24;
    std::int64_t memory = 220'000;
};

// How a fleet of so many nodes looks where nothing else is said.
auto shape_of(std::size_t nodes) -> LoadShape;

auto node_name(std::size_t index) -> std::string;
auto replica_list(LoadShape const& shape, Random& random) -> ReplicaList;
auto request_of(LoadShape const& shape, std::uint64_t number, Random& random) -> InferenceRequest;
auto ready_granting(LoadShape const& shape, ReplicaList const& list) -> Scheduler;

// One admitting node with its requests under way, placed at random: enough for
// what it tells others.
struct LoadSource {
    LoadShape shape;
    Random random;
    ReplicaLoadTable table;
    std::uint64_t next_number = 1;
    double owed = 0.0;  // requests due and not yet placed
    Microseconds at = 0;
    struct Under {
        Microseconds ends = 0;
        std::uint64_t number = 0;
        std::string replica;
    };
    std::vector<Under> under_way;

    auto start(LoadShape const& given, ReplicaList const& list, std::string const& self, std::uint64_t seed) -> void;
    auto run_until(Microseconds now) -> void;
};

}  // namespace dockrock::hollow
