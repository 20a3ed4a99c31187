#pragma once
// All interleavings of a few threads. Threads run one at a time; before every
// lock the checker decides who goes on, depth first over all decisions. What
// lies between two locks touches nothing shared, so no order is left out.
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace dockrock::testing {

struct Checker {
    std::mutex lock;
    std::condition_variable changed;
    int running = -1;  // -1: the checker decides
    std::vector<bool> finished;
    std::vector<void const*> blocked_on;
    std::vector<std::size_t> choices;  // of this execution
    std::vector<std::size_t> widths;   // how many could have gone on
    bool deadlock = false;

    static auto current() -> Checker*& {
        static Checker* checker = nullptr;
        return checker;
    }
    static auto self() -> int& {
        static thread_local int number = -1;
        return number;
    }
    auto yield() -> void {
        auto guard = std::unique_lock(lock);
        running = -1;
        changed.notify_all();
        changed.wait(guard, [&] { return running == self(); });
    }
    auto run(std::vector<std::function<void()>> const& bodies, std::vector<std::size_t> const& prefix) -> void {
        current() = this;
        finished.assign(bodies.size(), false);
        blocked_on.assign(bodies.size(), nullptr);
        std::vector<std::thread> threads;
        for (auto index = std::size_t{0}; index < bodies.size(); ++index) {
            threads.emplace_back([this, index, &bodies] {
                self() = static_cast<int>(index);
                {
                    auto guard = std::unique_lock(lock);
                    changed.wait(guard, [&] { return running == self(); });
                }
                bodies[index]();
                auto guard = std::unique_lock(lock);
                finished[index] = true;
                running = -1;
                changed.notify_all();
            });
        }
        while (true) {
            auto guard = std::unique_lock(lock);
            changed.wait(guard, [&] { return running == -1; });
            std::vector<int> ready;
            for (auto index = std::size_t{0}; index < bodies.size(); ++index)
                if (!finished[index] && blocked_on[index] == nullptr) ready.push_back(static_cast<int>(index));
            if (ready.empty()) {
                deadlock = std::find(finished.begin(), finished.end(), false) != finished.end();
                break;
            }
            auto const step = choices.size();
            auto const choice = step < prefix.size() ? prefix[step] : 0;
            choices.push_back(choice);
            widths.push_back(ready.size());
            running = ready[choice];
            changed.notify_all();
        }
        for (auto& thread : threads) deadlock ? thread.detach() : thread.join();
        current() = nullptr;
    }
};

struct CheckedMutex {
    int leader = -1;
    auto lock() -> void {
        auto* checker = Checker::current();
        if (checker == nullptr) return;
        checker->yield();
        while (leader != -1) {
            checker->blocked_on[static_cast<std::size_t>(Checker::self())] = this;
            checker->yield();
        }
        leader = Checker::self();
    }
    auto unlock() -> void {
        auto* checker = Checker::current();
        if (checker == nullptr) return;
        leader = -1;
        for (auto& place : checker->blocked_on)
            if (place == this) place = nullptr;
    }
};
struct CheckedPrimitives {
    using Mutex = CheckedMutex;
};

struct Explored {
    std::size_t executions = 0;
    std::size_t bad = 0;
};

// `make` gives fresh bodies and a final check for each execution.
template <typename Make>
auto explore(Make make, std::size_t most = 200'000) -> Explored {
    Explored explored;
    std::vector<std::size_t> prefix;
    while (explored.executions < most) {
        auto [bodies, good] = make();
        Checker checker;
        checker.run(bodies, prefix);
        ++explored.executions;
        if (checker.deadlock || !good()) ++explored.bad;
        if (checker.deadlock) break;
        auto place = checker.choices.size();
        while (place > 0 && checker.choices[place - 1] + 1 >= checker.widths[place - 1]) --place;
        if (place == 0) break;
        prefix.assign(checker.choices.begin(), checker.choices.begin() + static_cast<std::ptrdiff_t>(place));
        ++prefix.back();
    }
    return explored;
}

}  // namespace dockrock::testing
