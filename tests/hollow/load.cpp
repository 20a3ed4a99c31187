#include "load.hpp"

#include <algorithm>
#include <array>

namespace dockrock::hollow {

namespace {

struct Size {
    std::size_t nodes;
    std::size_t replicas;
    std::size_t models;
};
// The sizes that deployments have or expect; others lie between.
constexpr auto sizes = std::to_array<Size>({{13, 18, 1}, {89, 140, 1}, {300, 1'000, 12}, {720, 3'000, 37}});

auto hexadecimal(std::uint64_t number) -> std::string {
    std::string text;
    for (auto shift = 28; shift >= 0; shift -= 4) text.push_back("0123456789abcdef"[(number >> shift) & 15U]);
    return text;
}

}  // namespace

auto shape_of(std::size_t nodes) -> LoadShape {
    LoadShape shape;
    shape.nodes = nodes;
    auto const next = std::find_if(sizes.begin(), sizes.end(), [&](auto const& size) { return size.nodes >= nodes; });
    auto const& upper = next == sizes.end() ? sizes.back() : *next;
    auto const& lower = next == sizes.begin() ? upper : *(next - 1);
    auto const part = upper.nodes == lower.nodes
        ? 1.0
        : static_cast<double>(nodes - lower.nodes) / static_cast<double>(upper.nodes - lower.nodes);
    auto const between = [&](std::size_t from, std::size_t to) {
        return from + static_cast<std::size_t>(static_cast<double>(to - from) * part + 0.5);
    };
    shape.replicas = between(lower.replicas, upper.replicas);
    shape.models = between(lower.models, upper.models);
    return shape;
}

auto node_name(std::size_t index) -> std::string { return hexadecimal(index * 2'654'435'761U) + hexadecimal(index); }

auto replica_list(LoadShape const& shape, Random& random) -> ReplicaList {
    ReplicaList list;
    for (auto index = std::size_t{0}; index < shape.replicas; ++index) {
        ReplicaEntry entry;
        entry.name = "i-" + hexadecimal(random.next());
        entry.address = "10." + std::to_string(index / 62'500) + "." + std::to_string(index / 250 % 250) + "." +
            std::to_string(index % 250) + ":8080";
        entry.model = "model-" + std::to_string(index % shape.models);
        entry.area = "zone-" + std::to_string(index % 12);
        entry.capacity = shape.capacity;
        entry.memory = shape.memory;
        entry.weights = {{entry.model, 1}};
        list.replicas.push_back(std::move(entry));
    }
    return list;
}

auto request_of(LoadShape const& shape, std::uint64_t number, Random& random) -> InferenceRequest {
    InferenceRequest request;
    request.number = number;
    request.body.model = "model-" + std::to_string(random.below(shape.models));
    request.body.max_tokens = 20;
    request.tenant_path = "tenant-" + std::to_string(random.below(84));
    request.deadline = 3'600 * one_second;
    request.prompt_tokens = 3'700;
    request.independent_parts = true;
    for (auto part = 0; part < 3; ++part) {
        request.chain.push_back(random.next());
        request.body.prefix.push_back({"part", 4'000});
        request.prefix_tokens += 4'000;
    }
    request.affinity = request.chain.front();
    return request;
}

auto ready_granting(LoadShape const& shape, ReplicaList const& list) -> Scheduler {
    Scheduler scheduler;
    scheduler.load_table.self = node_name(0);
    scheduler.options.load_steps = scheduler.load_table.options.load_steps = 8;
    scheduler.load_table.take_list(list);
    for (auto const& entry : list.replicas) {
        scheduler.load_table.take_weights(entry.name, "1", false);
        scheduler.load_table.replicas.at(entry.name).report->free_memory = shape.memory;
    }
    return scheduler;
}

auto LoadSource::start(LoadShape const& given, ReplicaList const& list, std::string const& self, std::uint64_t seed)
    -> void {
    shape = given;
    random.state = seed;
    table.self = self;
    table.take_list(list);
    at = 0;
}

auto LoadSource::run_until(Microseconds now) -> void {
    if (at == 0) at = now - 2 * shape.service;  // as if it had run before
    owed += static_cast<double>(now - at) * shape.requests / 1'000'000.0;
    auto const from = at;
    at = now;
    while (owed >= 1.0) {
        owed -= 1.0;
        auto const began = from + static_cast<Microseconds>(random.below(static_cast<std::uint64_t>(now - from) + 1));
        auto place = table.replicas.begin();
        std::advance(place, static_cast<std::ptrdiff_t>(random.below(table.replicas.size())));
        auto const request = request_of(shape, next_number++, random);
        table.place(place->first, request, request.declared(), began);
        under_way.push_back({began + shape.service, request.number, place->first});
    }
    std::erase_if(under_way, [&](auto const& item) {
        if (item.ends > now) return false;
        table.release(item.replica, item.number);
        return true;
    });
}

}  // namespace dockrock::hollow
