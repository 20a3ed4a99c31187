#pragma once
// The whole platform in one process, steered by small JSON calls.
#include "client.hpp"
#include "judge.hpp"
#include "list.hpp"
#include "operator.hpp"

namespace dockrock::platform_stand_in {

struct Platform {
    asio::io_context& context;
    Random random;
    Record record{};
    Bounds bounds{};
    Surroundings around{record, random, {}, {}, 0};
    ReplicaList list{};
    std::shared_ptr<Entry> entry = std::make_shared<Entry>();
    Operator caller{{}, record, random, {}};
    Clients clients{record, random, entry, {}, {}, {}, {}, {}, {}};
    std::vector<ReplicaPointer> replicas{};  // each life that there was
    Milliseconds crashed_listed = 2000, drain_linger = 1500;
    bool running = true;
};
using Answered = std::pair<std::int64_t, json::object>;

auto add_replica(Platform& platform, json::object const& options) -> ReplicaPointer;
using Steer = awaitable<Answered> (*)(Platform&, json::object);
auto soak_steer(std::string_view name) -> Steer;  // nothing: no such name
// One control call: {"do": NAME, ...}. The names are those of the table in platform.cpp.
auto control(Platform& platform, json::object call) -> awaitable<Answered>;
auto control_names() -> std::vector<std::string_view>;

}  // namespace dockrock::platform_stand_in
