#include "schedule.hpp"

namespace dockrock::model {

namespace {

constexpr auto resubmit_interval = 3 * unit;

struct Offer {
    World const& world;
    Limits const& limits;
    std::vector<Choice> choices;

    auto add(Step step, std::size_t subject, int cost = 1) -> void {
        if (cost > 0 && !limits.only.empty() && !limits.only.contains(step)) return;
        auto const found = world.spent.find(std::string(step_names[static_cast<std::size_t>(step)]));
        if (cost > 0 && found != world.spent.end() && found->second >= limits.each) return;
        choices.push_back({step, subject, 0, cost});
    }
};

auto works(Node const& node) -> bool { return node.running && !node.frozen; }

auto away(World const& world) -> int {
    return static_cast<int>(std::count_if(world.nodes.begin(), world.nodes.end(), [](auto const& node) {
        return !works(*node) || node->cut || node->stopping;
    }));
}

// Identities whose disk is lost and that a record, decided or on its way, still names.
auto losses_open(World const& world) -> std::size_t {
    auto records = std::vector<Record>{world.observed.decided.rbegin()->second};
    for (auto const& node : world.nodes) {
        if (node->partition.proposal) records.push_back(node->partition.proposal->value);
        if (node->partition.votes.accepted) records.push_back(*node->partition.votes.accepted);
    }
    auto gone = std::set<std::string>();
    for (auto const& record : records) {
        auto named = record.voters;
        named.insert(named.end(), record.followers.begin(), record.followers.end());
        named.push_back(record.leader);
        for (auto const& identity : named)
            if (!identity.empty() && !world.index_of(identity)) gone.insert(identity);
    }
    return gone.size();
}

auto next_write(World const& world) -> std::optional<std::size_t> {
    for (auto index = std::size_t{0}; index < world.nodes.size(); ++index) {
        auto const& node = *world.nodes[index];
        if (works(node) && !node.disk_stalled && !node.writes.empty()) return index;
    }
    return std::nullopt;
}

auto next_message(World const& world) -> std::optional<std::size_t> {
    for (auto place = std::size_t{0}; place < world.network.size(); ++place) {
        auto const target = world.index_of(world.network[place].to);
        if (world.network[place].held || (target && world.nodes[*target]->frozen)) continue;
        return place;
    }
    return std::nullopt;
}

auto next_tick(World const& world) -> std::optional<std::size_t> {
    for (auto index = std::size_t{0}; index < world.nodes.size(); ++index)
        if (works(*world.nodes[index]) && world.nodes[index]->ticked_at < world.now) return index;
    return std::nullopt;
}

auto due(World const& world, std::size_t operator_index) -> bool {
    auto const& changes = world.operators[operator_index].changes;
    if (changes.empty()) return true;
    auto const& last = changes.back();
    if (last.status == 0) return world.now - last.asked_at >= resubmit_interval;
    return static_cast<int>(changes.size()) < world.setup.changes && world.now > last.asked_at;
}

auto next_submission(World const& world) -> std::optional<Choice> {
    for (auto index = std::size_t{0}; index < world.nodes.size(); ++index) {
        auto const& node = *world.nodes[index];
        if (!works(node) || node.cut || !node.partition.committed) continue;
        if (!node.partition.has_lease(node.identity, world.now)) continue;
        for (auto number = std::size_t{0}; number < operator_count; ++number)
            if (due(world, number)) return Choice{Step::submit, number, index, 0};
    }
    return std::nullopt;
}

auto offer_faults(Offer& offer, std::size_t index) -> void {
    auto const& node = *offer.world.nodes[index];
    if (away(offer.world) < offer.limits.at_once && !node.cut) {
        if (!node.writes.empty()) offer.add(Step::crash_lose, index);
        offer.add(Step::crash_keep, index);
        offer.add(Step::freeze, index);
        offer.add(Step::cut, index);
        offer.add(Step::stop, index);
    }
    if (losses_open(offer.world) < offer.world.setup.losses) offer.add(Step::lose_disk, index);
    if (!node.disk_stalled) offer.add(Step::stall_disk, index);
    if (!node.disk_failing) offer.add(Step::fail_disk, index);
    if (!node.suspected) offer.add(Step::suspect, index);
}

auto offer_late_messages(Offer& offer, std::size_t index) -> void {
    for (auto place = std::size_t{0}; place < offer.world.network.size(); ++place) {
        auto const& envelope = offer.world.network[place];
        if (envelope.held && envelope.to == offer.world.nodes[index]->identity) offer.add(Step::release, place, 0);
    }
}

auto offer_recovery(Offer& offer) -> void {
    for (auto index = std::size_t{0}; index < offer.world.nodes.size(); ++index) {
        auto const& node = *offer.world.nodes[index];
        if (!node.running) offer.add(Step::restart, index, 0);
        if (node.frozen) offer.add(Step::thaw, index, 0);
        if (node.cut) offer.add(Step::heal, index, 0);
        if (node.disk_stalled) offer.add(Step::unstall_disk, index, 0);
        if (node.suspected) offer.add(Step::trust, index, 0);
    }
}

auto around_message(Offer& offer, std::size_t place) -> void {
    offer.choices.push_back({Step::deliver, place, 0, 0});
    offer.add(Step::hold, place);
    offer.add(Step::drop, place);
    offer.add(Step::duplicate, place);
    offer.add(Step::advance_early, 0);
    if (auto const ticking = next_tick(offer.world)) offer.add(Step::tick_early, *ticking);
    auto const target = offer.world.index_of(offer.world.network[place].to);
    if (!target) return;
    offer_late_messages(offer, *target);
    offer_faults(offer, *target);
}

}  // namespace

auto choices(World const& world, Limits const& limits) -> std::vector<Choice> {
    Offer offer{world, limits, {}};
    if (auto const index = next_write(world)) {
        offer.choices.push_back({Step::sync, *index, 0, 0});
        offer_faults(offer, *index);
    } else if (auto const place = next_message(world)) {
        around_message(offer, *place);
    } else if (auto const ticking = next_tick(world)) {
        offer.choices.push_back({Step::tick, *ticking, 0, 0});
        offer_late_messages(offer, *ticking);
        offer_faults(offer, *ticking);
    } else if (auto const submission = next_submission(world)) {
        offer.choices.push_back(*submission);
        offer.add(Step::submit_later, submission->subject);
    } else if (world.now < 10 * unit + limits.length) {
        offer.choices.push_back({Step::advance, 0, 0, 0});
        offer_recovery(offer);
    }
    return std::move(offer.choices);
}

namespace {

auto change_subject(World& world, Choice const& choice) -> bool {
    auto const set = [&](bool Node::*flag, bool value) {
        world.change_node(choice.subject, [&](Node& node) { node.*flag = value; });
        return true;
    };
    switch (choice.step) {
        case Step::freeze: return set(&Node::frozen, true);
        case Step::thaw: return set(&Node::frozen, false);
        case Step::cut: return set(&Node::cut, true);
        case Step::heal: return set(&Node::cut, false);
        case Step::stall_disk: return set(&Node::disk_stalled, true);
        case Step::unstall_disk: return set(&Node::disk_stalled, false);
        case Step::fail_disk: return set(&Node::disk_failing, true);
        case Step::suspect: return set(&Node::suspected, true);
        case Step::trust: return set(&Node::suspected, false);
        case Step::stop: return set(&Node::stopping, true);
        default: return false;
    }
}

auto act_on_subject(World& world, Choice const& choice) -> void {
    switch (choice.step) {
        case Step::deliver:
        case Step::release: return world.deliver(choice.subject, false);
        case Step::duplicate: return world.deliver(choice.subject, true);
        case Step::drop: return world.drop(choice.subject);
        case Step::hold: world.network[choice.subject].held = true; return;
        case Step::sync: return world.sync(choice.subject);
        case Step::tick:
        case Step::tick_early: return world.tick(choice.subject);
        case Step::submit: return world.submit(choice.subject, choice.target);
        case Step::crash_lose: return world.crash(choice.subject, false);
        case Step::crash_keep: return world.crash(choice.subject, true);
        case Step::lose_disk: return world.lose_disk(choice.subject);
        case Step::restart: return world.restart(choice.subject);
        case Step::submit_later:
        case Step::advance:
        case Step::advance_early: world.now += unit; return;
        default: return;
    }
}

}  // namespace

auto apply(World& world, Choice const& choice) -> void {
    if (choice.cost > 0) ++world.spent[std::string(step_names[static_cast<std::size_t>(choice.step)])];
    if (!change_subject(world, choice)) act_on_subject(world, choice);
    if (choice.step != Step::cut) return;
    auto const& identity = world.nodes[choice.subject]->identity;  // what was on the way is lost
    std::erase_if(
        world.network, [&](auto const& item) { return (item.to == identity || item.from == identity) && !item.held; });
}

}  // namespace dockrock::model
