// Compares the incrementally updated load sums with a direct computation over all digests and placements, after
// random sequences of events. docs/design.md 9.4.
#include "helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

auto plain_active(ReplicaLoadTable const& table, Microseconds now) -> std::int64_t {
    auto count = std::int64_t{1};
    for (auto const& [node, digest] : table.remote_digests)
        if (now - digest.at < table.options.digest_lost && !digest.replicas.empty()) ++count;
    return count;
}

auto plain_running(ReplicaLoadTable const& table, ReplicaState const& state, Microseconds now) -> std::int64_t {
    auto sum = std::int64_t{0};
    for (auto const& [inference, placed] : state.placed) sum += placed.slots;
    for (auto const& [node, digest] : table.remote_digests) {
        if (now - digest.at > table.options.digest_lost) continue;
        if (auto const found = digest.replicas.find(state.entry.name); found != digest.replicas.end())
            sum += found->second.slots;
    }
    return sum;
}

auto plain_reserve(ReplicaLoadTable const& table, ReplicaState const& state, Microseconds now) -> std::int64_t {
    auto sum = std::int64_t{0};
    auto const limit = table.options.multiplier * state.entry.capacity;
    for (auto const& [node, digest] : table.remote_digests) {
        auto const age = now - digest.at;
        if (age > table.options.digest_lost) continue;
        auto const found = digest.replicas.find(state.entry.name);
        if (found == digest.replicas.end()) continue;
        if (age > table.options.digest_old)
            sum += std::max<std::int64_t>(0, limit / plain_active(table, now) - found->second.slots);
        else sum += (found->second.recent * age + one_second / 2) / one_second;
    }
    return sum;
}

auto plain_free(ReplicaLoadTable const& table, ReplicaState const& state, Microseconds now) -> std::int64_t {
    auto free = state.entry.memory;
    auto reported = state.report ? state.report->free_memory : 0;
    for (auto const& [inference, placed] : state.placed) {
        free -= placed.memory;
        if (placed.at >= state.reported_at) reported -= placed.memory;
    }
    for (auto const& [node, digest] : table.remote_digests) {
        if (now - digest.at > table.options.digest_lost) continue;
        auto const found = digest.replicas.find(state.entry.name);
        if (found == digest.replicas.end()) continue;
        free -= found->second.memory;
        if (digest.at > state.reported_at && found->second.count > 0)
            reported -=
                found->second.memory / found->second.count * std::min(found->second.recent, found->second.count);
    }
    return std::min(free, reported);
}

auto plain_room(ReplicaLoadTable const& table, ReplicaState const& state, Microseconds now) -> bool {
    auto const limit = table.options.multiplier * state.entry.capacity;
    auto const known = plain_running(table, state, now);
    auto const left = limit + 1 - known;
    if (left <= 0) return false;
    auto own = std::int64_t{0};
    for (auto const& [number, placed] : state.placed) own += placed.slots;
    auto const nodes = plain_active(table, now);
    if (known + plain_reserve(table, state, now) > limit && own >= std::max<std::int64_t>(1, limit / nodes))
        return false;
    if (left > nodes || nodes == 1) return true;
    if (state.unreported_placements >= std::max<std::int64_t>(1, left / nodes)) return false;
    auto const seed = hash_text(state.entry.name);
    auto const mine = hash_text(table.self, seed);
    auto rank = std::int64_t{0};
    for (auto const& [node, digest] : table.remote_digests) {
        if (now - digest.at >= table.options.digest_lost || digest.replicas.empty()) continue;
        auto const found = digest.replicas.find(state.entry.name);
        auto const theirs = found == digest.replicas.end() ? 0 : found->second.slots;
        if (std::pair(theirs, hash_text(node, seed)) < std::pair(own, mine)) ++rank;
    }
    return rank < left;
}

// Random events of one load table, drawn from a seed.
struct RandomEvents {
    Random random;
    ReplicaLoadTable table;
    Microseconds now = 10 * one_second;
    std::uint64_t next_request_number = 1;
    std::vector<std::pair<std::string, std::uint64_t>> placed;
    std::map<std::string, std::uint64_t> numbers;

    auto replica() -> std::string { return "r" + std::to_string(random.below(8)); }
    auto list() -> void {
        ReplicaList list;
        for (auto number = 0; number < 8; ++number) {
            if (random.below(4) == 0) continue;
            ReplicaEntry entry;
            entry.name = "r" + std::to_string(number);
            entry.model = number % 2 == 0 ? "large" : "small";
            entry.address = "127.0.0.1:" + std::to_string(9'000 + number + (random.below(9) == 0 ? 100 : 0));
            entry.capacity = 1 + static_cast<std::int64_t>(random.below(6));
            entry.memory = 10'000;
            list.replicas.push_back(entry);
        }
        table.take_list(list);
    }
    auto digest() -> void {
        auto const node = "node-" + std::to_string(random.below(9));
        std::map<std::string, ReplicaLoad> told;
        for (auto count = random.below(6); count > 0; --count) {
            auto const some = static_cast<std::int64_t>(random.below(4));
            told[replica()] = {
                some, some + static_cast<std::int64_t>(random.below(2)), 100 * some,
                static_cast<std::int64_t>(random.below(5))};
        }
        auto const late = random.below(10) == 0;
        auto const number = late ? numbers[node] : ++numbers[node];
        table.take_digest(node, number, random.below(20) == 0 ? "{" : json::serialize(write_json(told)), now);
    }
    auto step() -> void {
        now += static_cast<Microseconds>(random.below(120'000));
        if (random.below(60) == 0) now += static_cast<Microseconds>(random.below(14'000'000));
        switch (random.below(12)) {
            case 0: list(); break;
            case 1:
                table.take_report(replica(), report_of(9'000), now - static_cast<Microseconds>(random.below(900'000)));
                break;
            case 2: table.take_weights(replica(), "w" + std::to_string(random.below(2)), false); break;
            case 3: table.make_digest(now); break;
            case 4:
            case 5:
            case 6: {
                auto const name = replica();
                if (!table.replicas.contains(name)) break;
                auto request = make_inference(random.below(30) == 0 ? 1 : next_request_number++);
                request.body.slots = 1 + static_cast<std::int64_t>(random.below(2));
                table.place(name, request, 50, now);
                placed.emplace_back(name, request.number);
                break;
            }
            case 7:
            case 8:
                if (placed.empty()) break;
                std::swap(placed[random.below(placed.size())], placed.back());
                table.release(placed.back().first, placed.back().second);
                placed.pop_back();
                break;
            default: digest();
        }
    }
};

}  // namespace

TEST_CASE("sums of load equal the direct computation over all digests, after any events") {
    auto rooms = std::array<int, 2>{};
    for (auto seed = std::uint64_t{1}; seed <= 40; ++seed) {
        RandomEvents events;
        events.random.state = seed * 101;
        events.table.self = "node-self";
        events.list();
        auto wrong = 0;
        for (auto count = 0; count < 400; ++count) {
            events.step();
            auto const& table = events.table;
            for (auto later : {Microseconds{0}, 700 * one_millisecond, 3 * one_second, 11 * one_second}) {
                auto const now = events.now + later;
                wrong += table.active_nodes(now) != plain_active(table, now);
                for (auto const& [name, state] : table.replicas) {
                    wrong += table.running(state, now) != plain_running(table, state, now);
                    wrong += table.reserve(state, now) != plain_reserve(table, state, now);
                    wrong += table.free_memory(state, now) != plain_free(table, state, now);
                    auto const room = plain_room(table, state, now);
                    wrong += table.has_room(state, now) != room;
                    ++rooms[room ? 1 : 0];
                }
            }
            auto pooled = std::size_t{0};
            for (auto const* model : {"large", "small"}) {
                for (auto const* state : table.pool(model)) wrong += state != &table.replicas.at(state->entry.name);
                pooled += table.pool(model).size();
            }
            wrong += pooled != table.replicas.size();
        }
        INFO("seed " << seed);
        CHECK(wrong == 0);
    }
    CHECK(rooms[0] > 1'000);  // both results occurred
    CHECK(rooms[1] > 1'000);
}

TEST_CASE("a lost digest counts no more, and one older than it is still ignored") {
    auto scheduler = make_scheduler(1);
    auto& table = scheduler.load_table;
    auto const told = std::string(R"({"r0":{"count":2,"slots":2,"memory":10,"recent":0}})");
    table.take_digest("other", 5, told, one_second);
    auto const& state = table.replicas.at("r0");
    CHECK(table.running(state, 2 * one_second) == 2);
    table.make_digest(20 * one_second);
    CHECK(table.running(state, 20 * one_second) == 0);
    CHECK(table.active_nodes(20 * one_second) == 1);
    table.take_digest("other", 4, told, 21 * one_second);
    CHECK(table.running(state, 21 * one_second) == 0);
    table.take_digest("other", 6, told, 22 * one_second);
    CHECK(table.running(state, 22 * one_second) == 2);
}

TEST_CASE("a replica that is listed after other nodes reported load on it starts with that load") {
    auto scheduler = make_scheduler(1);
    auto& table = scheduler.load_table;
    table.take_digest("other", 1, R"({"r1":{"count":3,"slots":3,"memory":10,"recent":1}})", one_second);
    auto list = ReplicaList();
    for (auto const* name : {"r0", "r1"}) {
        list.replicas.push_back(table.replicas.at("r0").entry);
        list.replicas.back().name = name;
    }
    table.take_list(list);
    CHECK(table.running(table.replicas.at("r1"), one_second) == 3);
    CHECK(table.pool("large").size() == 2);
}
