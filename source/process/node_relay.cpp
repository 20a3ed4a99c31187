// What a node does in addition to the product's own wire protocol when it relays requests.
// docs/platform.md section 3.
#include "process/clock.hpp"
#include "process/log.hpp"
#include "process/node.hpp"
#include "version/changes.hpp"

namespace dockrock {

namespace {
constexpr auto unlimited_memory = std::int64_t{1} << 40U;  // for a service without a prefix cache
}  // namespace

// Options named in the settings override the given defaults.
auto Node::take_scheduling_options(SchedulingOptions options) -> void {
    set_scheduling_options(settings.scheduling, options);
    table.scheduler.set_options(options);
    control.load_relay.times.interval = options.relayed_interval / 2;  // sums are no staler than reports
}

auto Node::relay_changes() -> void {
    for (auto index = std::size_t{0}; index < partition_count; ++index) {
        if (index == resting_partition) continue;
        control.partitions[index].apply = index == configuration_partition
            ? ApplyChange([this](Copy const& current, Call const& call) {
                  return apply_versioned(protocol->documents, current, call);
              })
            : ApplyChange(apply_weights_version);
    }
    auto options = table.scheduler.options;
    options.work_outstanding = true;
    options.idle_open = true;
    options.short_prompt = 2'048;  // tokens that a replica prefills in one step
    options.recompute_tokens_each_second = 100'000.0;
    take_scheduling_options(options);
}

// Capacity and memory come from the services document; the list says which replicas exist.
auto Node::take_services(Snapshot& fresh) -> void {
    auto const& rules = fresh.rules->services;
    if (!rules) return;
    auto& fetch_rate = table.scheduler.options.fetch_tokens_each_second;
    for (auto& entry : fresh.list.replicas) {
        auto const* service = rules->service(entry.model);
        if (service == nullptr) continue;
        entry.memory = service->memory > 0 ? service->memory : unlimited_memory;
        if (service->token_bytes > 0 && service->link_megabits > 0.0)
            fetch_rate = service->link_megabits * 125'000.0 / static_cast<double>(service->token_bytes);
        if (entry.capacity <= 0) entry.capacity = service->capacity;
    }
}

auto Node::take_replica_weights(Snapshot const& fresh) -> void {
    auto& stores = table.scheduler.stores;
    std::set<std::string> named;
    if (fresh.rules->services)
        for (auto const& service : fresh.rules->services->document.services) {
            if (service.store_address.empty()) continue;
            named.insert(service.name);
            auto& store = stores[service.name];
            if (store.address != service.store_address) store = PrefixStore{};
            store.address = service.store_address;
            store.area = service.zone;
        }
    std::erase_if(stores, [&](auto const& item) { return !named.contains(item.first); });
    auto const now = clock_now();
    weights_guard.bound = settings.bounds.weights;
    weights_guard.learn_times(fresh.version_times);
    weights_guard.learn_targets(fresh.target_versions, now);
    for (auto const& [name, held] : fresh.replica_weights) {
        auto version = std::int64_t{0};  // a service has one model: the highest version reported
        for (auto const& [model, number] : held.versions) version = std::max(version, number);
        auto const overdue = weights_guard.is_overdue(held, now);
        auto const target_pending = std::any_of(held.versions.begin(), held.versions.end(), [&](auto const& item) {
            return weights_guard.target_pending(item.first, partition_of_service(item.first), now);
        });
        if (weights_guard.withhold(name, overdue))  // the leader's log says why the load takes so long
            write_log(Level::warning, "weights-withheld", fields("replica", name, "version", version));
        auto const closed = held.loading || overdue || target_pending;
        table.scheduler.load_table.take_weights(name, version == 0 ? "" : std::to_string(version), closed);
    }
    weights_guard.schedule_check(fresh.replica_weights, now);
    weights_guard.forget_others(fresh.replica_weights);
    counters.weights_withheld = weights_guard.withheld.size();
}

auto Node::sweep_loop() -> awaitable<void> {
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    while (!finished) {
        timer.expires_after(std::chrono::seconds(1));
        co_await timer.async_wait(use_tuple);
        std::set<std::string> names;
        for (auto const& entry : snapshot.load()->list.replicas) names.insert(entry.name);
        pool.sweep(names, clock_now());
        auto const guard = std::lock_guard(table.lock);
        take_replica_weights(*snapshot.load());
    }
}

}  // namespace dockrock
