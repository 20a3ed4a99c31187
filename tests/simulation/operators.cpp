#include "operators.hpp"

#include <algorithm>

namespace dockrock::simulation {

namespace {
constexpr Microseconds silence_limit = one_second;
constexpr Microseconds pause_step = 200 * one_millisecond;
constexpr Microseconds longest_pause = 2 * one_second;
constexpr Microseconds repeat_span = 4 * one_second;
constexpr auto repeats_in_ten = 3;

auto read_sequence(std::string const& etag) -> Sequence {
    auto const dot = etag.find('.');
    if (dot == std::string::npos) return {};
    return {std::strtoull(etag.c_str() + 1, nullptr, 10), std::strtoull(etag.c_str() + dot + 1, nullptr, 10)};
}
}  // namespace

auto Operators::add(std::string operation, std::string if_match, std::string document) -> std::size_t {
    auto const number = orders.size();
    auto order = std::make_unique<Order>();
    order->item = "<" + std::to_string(number) + ">";
    order->call = Call{
        configuration_partition, "order-" + std::to_string(number), std::move(operation), std::move(if_match),
        std::move(document) + order->item};
    order->asked_at = world.now;
    order->number_in_world = world.changes.size();
    world.changes.push_back({order->call.identity, "of " + order->call.identity, world.now, 0, {}, 0});
    orders.push_back(std::move(order));
    send(number);
    return number;
}

auto Operators::change() -> std::size_t { return add("patch", "", ""); }

auto Operators::race(std::size_t node) -> void {
    auto const& known = world.nodes[node]->control.views[configuration_partition].copy;
    if (known.sequence == Sequence{}) return;
    auto const condition = etag_of(known.sequence);
    auto const document = known.document;
    add("put", condition, document);
    if (random.below(2) == 0) add("put", condition, document);
    else add("patch", condition, "");
}

auto Operators::send_later(std::size_t number, Microseconds pause) -> void {
    world.at(world.now + pause, [this, number] { send(number); });
}

auto Operators::send(std::size_t number) -> void {
    auto& order = *orders[number];
    auto const node = pick();
    auto const round = ++order.sends;
    auto const answer_lost = static_cast<double>(random.below(1'000)) < answers_lost * 1'000.0;
    auto const heard = std::make_shared<bool>(false);
    if (world.nodes[node]->running)
        world.call(node, order.call, [this, number, node, answer_lost, heard](CallDone const& done) {
            *heard = true;
            answered(number, node, done);
            if (answer_lost) return send_later(number, silence_limit);
            tell(number, done.status);
        });
    world.at(world.now + silence_limit, [this, number, round, heard] {
        if (!*heard && orders[number]->told == 0 && orders[number]->sends == round) send(number);
    });
}

auto Operators::answered(std::size_t number, std::size_t node, CallDone const& done) -> void {
    auto& order = *orders[number];
    auto const at = " (at " + world.nodes[node]->address + ")";
    if (done.status == 200) return take(order, read_sequence(done.etag));
    if (done.status == 503 || done.status == 504) return;
    if (done.status != 412) {
        world.violation(order.call.identity + " was answered " + std::to_string(done.status) + at);
        return;
    }
    if (order.taken) world.violation(order.call.identity + " was taken and is refused when it is repeated" + at);
    if (order.call.if_match.empty()) world.violation(order.call.identity + " has no condition and is refused" + at);
    order.refused = true;
}

auto Operators::take(Order& order, Sequence const& sequence) -> void {
    if (order.taken && order.sequence != sequence)
        world.violation(
            order.call.identity + " was acknowledged as " + etag_of(order.sequence) + " and as " + etag_of(sequence));
    if (order.taken) return;
    if (order.refused) world.violation(order.call.identity + " was refused, and taken after that");
    order.taken = true;
    order.sequence = sequence;
    order.answered_at = world.now;
    waits.push_back(world.now - order.asked_at);
    auto& known = world.changes[order.number_in_world];
    known.status = 200;
    known.sequence = sequence;
    known.answered_at = world.now;
    world.highest_acknowledged = std::max(world.highest_acknowledged, sequence);
    world.note("acknowledged " + order.call.identity + " " + etag_of(sequence));
    for (auto const& other : orders)
        if (other->taken && other->answered_at < order.asked_at && other->sequence >= sequence)
            world.violation(order.call.identity + " was asked after " + other->call.identity + " and comes before it");
    if (!order.call.if_match.empty()) {
        auto const [place, fresh] = winners.emplace(order.call.if_match, order.item);
        if (!fresh) world.violation("two changes were taken under " + order.call.if_match);
    }
    if (taken) taken(order);
}

auto Operators::tell(std::size_t number, int status) -> void {
    auto& order = *orders[number];
    if (status == 200 || status == 412) {
        auto const first = order.told == 0;
        order.told = status;
        if (first && status == 200 && random.below(10) < repeats_in_ten)
            send_later(number, static_cast<Microseconds>(random.below(repeat_span)));
        return;
    }
    auto const tries = static_cast<Microseconds>(order.sends);
    send_later(number, std::min(longest_pause, tries * pause_step) + static_cast<Microseconds>(random.below(50'000)));
}

auto Operators::all_answered() const -> bool {
    return std::all_of(orders.begin(), orders.end(), [](auto const& order) { return order->told != 0; });
}

// Each change that was taken once, in the order of its sequence; none that was refused.
auto Operators::judge_document(std::string const& document) -> void {
    auto placed = std::vector<std::pair<std::size_t, Sequence>>();
    for (auto const& order : orders) {
        auto const place = document.find(order->item);
        auto const held = place != std::string::npos;
        if (order->taken && !held) world.violation(order->call.identity + " was acknowledged and is lost");
        if (order->refused && held) world.violation(order->call.identity + " was refused and is in force");
        if (held && document.find(order->item, place + 1) != std::string::npos)
            world.violation(order->call.identity + " was made twice");
        if (order->taken && held) placed.emplace_back(place, order->sequence);
    }
    std::sort(placed.begin(), placed.end());
    auto const by_sequence = [](auto const& left, auto const& right) { return left.second < right.second; };
    if (!std::is_sorted(placed.begin(), placed.end(), by_sequence))
        world.violation("changes stand in another order than their sequences");
}

}  // namespace dockrock::simulation
