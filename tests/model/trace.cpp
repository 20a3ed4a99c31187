// Runs told step by step, and run again.
#include <charconv>

#include "invariants.hpp"
#include "search.hpp"

namespace dockrock::model {

namespace {

auto name_of(Message const& message) -> std::string { return std::string(message_names[message.index()]); }

auto describe_node(World const& world, Node const& node) -> std::string {
    auto const& partition = node.partition;
    auto text = node.identity + ": term " + std::to_string(partition.votes.decided.term);
    text += " copy " + etag_of(partition.copy.sequence) + " synced " + etag_of(partition.synced);
    if (partition.votes.promised.round > 0)
        text += " promised " + std::to_string(partition.votes.promised.round) + partition.votes.promised.node;
    if (partition.votes.accepted) text += " accepted";
    if (partition.votes.sealed >= partition.votes.decided.term) text += " sealed";
    if (partition.has_lease(node.identity, world.now)) text += " leased";
    if (!node.running) text += " (down)";
    return text;
}

}  // namespace

auto describe(World const& world, Choice const& choice) -> std::string {
    auto const name = std::string(step_names[static_cast<std::size_t>(choice.step)]);
    switch (choice.step) {
        case Step::advance:
        case Step::advance_early: return name;
        case Step::submit:
        case Step::submit_later:
            return name + " operator " + std::string(1, static_cast<char>('A' + choice.subject)) + " at " +
                world.nodes[choice.target]->identity;
        case Step::deliver:
        case Step::hold:
        case Step::release:
        case Step::drop:
        case Step::duplicate: {
            auto const& envelope = world.network[choice.subject];
            return name + " " + envelope.from + " to " + envelope.to + ": " + name_of(*envelope.message) + " " +
                write_message(*envelope.message);
        }
        default: return name + " " + world.nodes[choice.subject]->identity;
    }
}

auto replay(Setup const& setup, Limits const& limits, std::vector<Deviation> const& path) -> std::vector<std::string> {
    std::vector<std::string> lines;
    World world(setup);
    auto place = std::size_t{0};
    for (auto step = std::size_t{0};; ++step) {
        check(world);
        if (!world.violations.empty()) break;
        auto const next = choices(world, limits);
        if (next.empty()) break;
        auto const deviates = place < path.size() && path[place].step == step;
        auto const number = deviates ? path[place++].choice : 0;
        if (number >= next.size()) break;
        lines.push_back(
            std::to_string(step) + (deviates ? " * " : "   ") + "time " + std::to_string(world.now / unit) + "  " +
            describe(world, next[number]));
        apply(world, next[number]);
    }
    for (auto const& node : world.nodes) lines.push_back(describe_node(world, *node));
    for (auto const& violation : world.violations) lines.push_back("broken: " + violation);
    return lines;
}

auto write_path(std::vector<Deviation> const& path) -> std::string {
    std::string text;
    for (auto const& deviation : path)
        text += (text.empty() ? "" : ",") + std::to_string(deviation.step) + ":" + std::to_string(deviation.choice);
    return text;
}

auto read_path(std::string_view text) -> std::vector<Deviation> {
    std::vector<Deviation> path;
    auto const* place = text.data();
    auto const* const end = place + text.size();
    while (place < end) {
        Deviation deviation;
        auto const step = std::from_chars(place, end, deviation.step);
        if (step.ptr >= end || *step.ptr != ':') break;
        auto const choice = std::from_chars(step.ptr + 1, end, deviation.choice);
        path.push_back(deviation);
        place = choice.ptr + 1;
    }
    return path;
}

}  // namespace dockrock::model
