#pragma once
// Serial execution of work items on a oneTBB flow graph, by the thread that adds
// an item or the one already running the queue. docs/design.md section 14.
#include <tbb/flow_graph.h>
#include <tbb/task_arena.h>

#include <deque>
#include <functional>
#include <mutex>

namespace dockrock {

// The graph runs in an arena without worker threads: a worker woken for a short
// task searches for more, yielding its processor some forty times, which was
// most of the CPU time of an idle node (docs/measurements.md).
struct WorkQueue {
    using Work = std::function<void()>;
    std::mutex lock;
    std::deque<Work> waiting;
    bool busy = false;  // some thread is running the queue
    tbb::task_arena arena{1, 1};
    std::unique_ptr<tbb::flow::graph> graph;
    std::unique_ptr<tbb::flow::function_node<int>> node;

    auto start() -> void {
        arena.initialize();
        arena.execute([this] {
            graph = std::make_unique<tbb::flow::graph>();
            node = std::make_unique<tbb::flow::function_node<int>>(*graph, tbb::flow::serial, [this](int turn) {
                take();
                return turn;
            });
        });
    }
    auto put(Work work) -> void {
        {
            auto const guard = std::lock_guard(lock);
            waiting.push_back(std::move(work));
            if (busy) return;
            busy = true;
        }
        auto more = true;
        while (more) {
            arena.execute([this] {
                node->try_put(0);
                graph->wait_for_all();
            });
            auto const guard = std::lock_guard(lock);
            more = busy = !waiting.empty();
        }
    }
    auto idle() -> bool {
        auto const guard = std::lock_guard(lock);
        return !busy;
    }

   private:
    auto take() -> void {
        auto guard = std::unique_lock(lock);
        if (waiting.empty()) return;
        auto const work = std::move(waiting.front());
        waiting.pop_front();
        guard.unlock();
        work();
    }
};

}  // namespace dockrock
