// Callers of the simulated fleet: patient, impatient, asking again elsewhere.
#include "fleet.hpp"

namespace dockrock::simulation {

namespace {
constexpr auto most_rounds = 3;
constexpr Microseconds patience = 20 * one_second;
}  // namespace

// A long review over a large shared prefix, a middling check, a short question.
auto Fleet::caller_asks() -> void {
    struct Kind {
        char const* name;
        std::int64_t tokens, parts;
    };
    constexpr auto kinds = std::to_array<Kind>({{"check", 120, 2}, {"review", 400, 4}, {"question", 30, 1}});
    auto const greedy = options.greedy > 0.0 && static_cast<double>(random.below(1'000)) < options.greedy * 1'000.0;
    auto const tenant = greedy ? tenants.size() - 1 : random.below(tenants.size());
    auto const& kind = kinds[random.below(kinds.size())];
    auto const run_once = random.below(3) != 0;
    auto const identity = "ticket-" + std::to_string(askings.size());
    json::array prefix;
    for (auto part = std::int64_t{0}; part < kind.parts; ++part)
        prefix.push_back(fields("name", kind.name + std::to_string(random.below(part == 0 ? 1 : 3)), "tokens", 1'000));
    auto body = fields(
        "model", random.below(2) == 0 ? "large" : "small", "kind", kind.name, "tenant", tenants[tenant].name,
        "max_tokens", kind.tokens, "run_once", run_once, "identity", identity);
    body["prefix"] = std::move(prefix);
    auto const text = json::serialize(body);
    auto const node = random.below(world.nodes.size());
    ask(identity, tenant, run_once, text, node, 0);
    if (run_once && !calm_now && options.twice && random.below(10) == 0)
        ask(identity, tenant, run_once, text, random.below(world.nodes.size()), most_rounds);
}

auto Fleet::ask(std::string identity, std::size_t tenant, bool run_once, std::string body, std::size_t node, int round)
    -> void {
    auto const number = static_cast<std::uint64_t>(askings.size() + 1);
    auto& asking = askings[number];
    asking.number = number;
    asking.identity = std::move(identity);
    asking.tenant = tenant;
    asking.node = node;
    asking.node_life = world.nodes[node]->life;
    asking.round = round;
    asking.run_once = run_once;
    asking.body = std::move(body);
    asking.key = tenants[tenant].key;
    asking.asked_at = world.now;
    asked_times.push_back(world.now);
    ++result.tickets;
    if (!world.nodes[node]->running) return later(link(), [this, number] { finish(number, "not-connected"); });
    later(link(), [this, number, node, life = asking.node_life] {
        if (world.nodes[node]->life != life || !world.nodes[node]->running) return finish(number, "not-connected");
        world.on_node(node, life, [this, number, node] { arrive(node, number); });
    });
    // A few callers lose patience at once, most after long.
    auto const wait = options.calm || options.planned_only || calm_now || random.below(30) != 0
        ? patience
        : static_cast<Microseconds>(random.below(2'000'000));
    later(wait, [this, number, node, life = asking.node_life] {
        auto& late = askings.at(number);
        if (!late.outcome.empty()) return;
        late.gone = true;
        finish(number, "lost");
        world.on_node(node, life, [this, number, node] {
            auto const found = planes[node].courses.find(number);
            if (found == planes[node].courses.end() || !found->second.entered) return;
            planes[node].scheduler.withdraw(number);
            drive(node, number, found->second.lifecycle.client_disconnected());
        });
    });
}

// Under the same identity at another node, where it may run only once.
auto Fleet::ask_again(std::uint64_t number) -> void {
    auto const& asking = askings.at(number);
    if (!asking.run_once || asking.round >= most_rounds) return;
    ++result.asked_again;
    later(link(), [this, asking] {
        auto const other = (asking.node + 1 + random.below(world.nodes.size() - 1)) % world.nodes.size();
        ask(asking.identity, asking.tenant, asking.run_once, asking.body, other, asking.round + 1);
    });
}

}  // namespace dockrock::simulation
