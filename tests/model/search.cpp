#include "search.hpp"

#include <atomic>
#include <boost/unordered/unordered_flat_map.hpp>
#include <chrono>
#include <mutex>
#include <thread>

#include "invariants.hpp"

namespace dockrock::model {

namespace {

constexpr auto recovery_percent = 50;  // of the moments at which a walk's node may come back

using Clock = std::chrono::steady_clock;

// States seen, and how many deviations were left when they were.
struct Seen {
    static constexpr auto shard_count = std::size_t{64};
    struct Shard {
        std::mutex lock;
        boost::unordered_flat_map<std::size_t, int> left;
    };
    std::vector<Shard> shards{shard_count};

    auto is_new(std::size_t digest, int left) -> bool {
        auto& shard = shards[digest % shard_count];
        auto const guard = std::lock_guard(shard.lock);
        auto const [place, fresh] = shard.left.try_emplace(digest, left);
        if (fresh) return true;
        if (place->second >= left) return false;
        place->second = left;
        return true;
    }
    auto size() const -> std::size_t {
        auto sum = std::size_t{0};
        for (auto const& shard : shards) sum += shard.left.size();
        return sum;
    }
};

struct Place {
    World world;
    std::size_t step = 0;
    int left = 0;
    std::vector<Deviation> path;
};

struct Search {
    SearchOptions const& options;
    Seen seen;
    std::mutex lock;
    std::vector<Place> open;  // shared among the threads
    std::size_t busy = 0;
    std::atomic<std::size_t> states = 0;
    std::atomic<std::size_t> steps = 0;
    std::atomic<std::size_t> longest = 0;
    std::atomic<bool> stopped = false;
    Found found;

    explicit Search(SearchOptions const& given) : options(given) {}
    auto report(Place const& place) -> void {
        auto const guard = std::lock_guard(lock);
        if (!found.violations.empty() && found.path.size() <= place.path.size()) return;
        found.violations = place.world.violations;
        found.path = place.path;
        stopped = true;
    }

    // The others along the way are kept for later; the default goes on here.
    auto run(Place place) -> void {
        std::vector<Place> branches;
        while (!stopped) {
            ++steps;
            check(place.world);
            if (!place.world.violations.empty()) return report(place);
            if (!seen.is_new(place.world.digest(), place.left)) break;
            if (++states >= options.most_states) {
                found.complete = false;
                stopped = true;
            }
            auto const next = choices(place.world, options.limits);
            if (next.empty()) break;
            for (auto number = std::size_t{1}; number < next.size(); ++number) {
                if (next[number].cost > place.left) continue;
                auto branch = place;
                apply(branch.world, next[number]);
                branch.path.push_back({place.step, number});
                branch.left -= next[number].cost;
                ++branch.step;
                branches.push_back(std::move(branch));
            }
            apply(place.world, next[0]);
            ++place.step;
        }
        note_length(place.step);
        auto const guard = std::lock_guard(lock);
        for (auto& branch : branches) open.push_back(std::move(branch));
    }

    auto note_length(std::size_t length) -> void {
        auto known = longest.load();
        while (known < length && !longest.compare_exchange_weak(known, length)) {}
    }

    auto take() -> std::optional<Place> {
        while (!stopped) {
            {
                auto const guard = std::lock_guard(lock);
                if (!open.empty()) {
                    auto place = std::move(open.back());
                    open.pop_back();
                    ++busy;
                    return place;
                }
                if (busy == 0) return std::nullopt;
            }
            std::this_thread::yield();
        }
        return std::nullopt;
    }

    auto work() -> void {
        while (auto place = take()) {
            run(std::move(*place));
            auto const guard = std::lock_guard(lock);
            --busy;
        }
    }
};

auto first_place(Setup const& setup, SearchOptions const& options) -> Place {
    Place place{World(setup), 0, options.deviations, options.begin};
    for (auto const& deviation : options.begin) {
        for (; place.step < deviation.step; ++place.step) {
            check(place.world);  // it notes what was seen
            apply(place.world, choices(place.world, options.limits).front());
        }
        check(place.world);
        apply(place.world, choices(place.world, options.limits)[deviation.choice]);
        ++place.step;
    }
    return place;
}

auto seconds_since(Clock::time_point begun) -> double {
    return std::chrono::duration<double>(Clock::now() - begun).count();
}

}  // namespace

auto search(Setup const& setup, SearchOptions const& options) -> Found {
    auto const begun = Clock::now();
    auto state = std::make_unique<Search>(options);
    state->open.push_back(first_place(setup, options));
    std::vector<std::thread> threads;
    for (auto count = std::size_t{0}; count < options.threads; ++count) threads.emplace_back([&] { state->work(); });
    for (auto& thread : threads) thread.join();
    auto found = std::move(state->found);
    found.states = state->seen.size();
    found.steps = state->steps;
    found.longest = state->longest;
    found.seconds = seconds_since(begun);
    return found;
}

auto walk(Setup const& setup, WalkOptions const& options) -> Found {
    auto const begun = Clock::now();
    auto random = Random{options.seed * 0x9e3779b97f4a7c15ULL + 1};
    World world(setup);
    Found found;
    for (; world.violations.empty(); ++found.steps) {
        check(world);
        if (!world.violations.empty()) break;
        auto const next = choices(world, options.limits);
        if (next.empty()) break;
        auto const chance = next.front().step == Step::advance ? recovery_percent : options.percent;
        auto const deviates = next.size() > 1 && random.below(100) < static_cast<std::uint64_t>(chance);
        auto const number = deviates ? 1 + random.below(next.size() - 1) : 0;
        if (number != 0) found.path.push_back({found.steps, number});
        apply(world, next[number]);
    }
    found.violations = world.violations;
    found.states = found.longest = found.steps;
    found.seconds = seconds_since(begun);
    return found;
}

}  // namespace dockrock::model
