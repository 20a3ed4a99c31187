#pragma once
// The I/O shell of one node: its threads, sockets, disk and loops around the state machines, which do no I/O
// themselves. docs/design.md sections 2 and 14.
#include <atomic>
#include <boost/leaf.hpp>
#include <condition_variable>
#include <filesystem>
#include <future>
#include <set>

#include "base/memory_budget.hpp"
#include "connection/loss_tolerance.hpp"
#include "connection/http_client.hpp"
#include "connection/replica_pool.hpp"
#include "process/counters.hpp"
#include "process/wire_protocol.hpp"
#include "control/list_polling.hpp"
#include "control/orders.hpp"
#include "control/resting_policy.hpp"
#include "control/weights_controller.hpp"
#include "control/weights_guard.hpp"
#include "control/work_limits.hpp"
#include "process/machine_limits.hpp"
#include "process/latency_metrics.hpp"
#include "process/update_metrics.hpp"
#include "process/node_types.hpp"
#include "process/settings.hpp"
#include "process/snapshot_holder.hpp"
#include "process/storage.hpp"
#include "process/transport.hpp"
#include "process/work_queue.hpp"
#include "sequence/rules.hpp"
#include "ticket/request_lifecycle.hpp"
#include "ticket/admission_table.hpp"

namespace dockrock {

namespace leaf = boost::leaf;

struct Node {
    NodeSettings settings;  // as read at the start; a reload changes the component concerned, not this
    std::function<Problems(NodeSettings&)> reread;  // set by the program: reads the settings again
    std::string settings_file;                      // polled for changes; may be empty
    MachineLimits limits;                           // read once, at the start
    MemoryBudget message_memory;                    // for buffered messages: requests, calls, failures
    WireProtocol const* protocol = nullptr;         // the wire protocol of a relaying fleet, otherwise null
    asio::io_context context;
    Storage storage;
    Transport transport;
    Control control;  // used only inside control_work
    std::atomic<Microseconds> proven_at{0};
    LossTolerance loss_tolerance;  // updated inside control_work
    SnapshotHolder snapshot;
    Counters counters;
    LatencyMetrics latency_metrics;
    UpdateMetrics update_metrics;
    AdmissionTable<SystemPrimitives> table;  // lock order: table.lock, then nothing (design 14)
    std::atomic<std::uint64_t> next_request_number{1};
    asio::signal_set stop_signals{context};
    asio::signal_set reload_signals{context};
    bool running = false;  // the start has completed
    bool control_listens = false;
    bool stop_asked = false;  // a signal requested the stop during the start
    std::atomic<bool> stopping{false};
    std::atomic<Microseconds> admission_ends{0};  // when stopping: requests read later are refused; 0: no limit
    std::atomic<bool> closing{false};             // stopping, and the notice period has passed: no new connections
    std::atomic<bool> finished{false};
    std::atomic<bool> resting_now{false};
    std::atomic<bool> disk_loaded{false};  // the data folder's contents are known and written back
    std::atomic<bool> disk_failed{false};  // the last disk operation failed
    std::atomic<Microseconds> disk_busy_since{0};
    DiskState logged_disk = DiskState::well;  // inside control_work
    std::atomic<int> open_inferences{0};
    std::atomic<int> client_connections{0};  // open on the client listener
    std::uint64_t most_client_connections = no_limit;
    std::atomic<int> open_requests{0};  // being read, or read and not yet answered
    std::atomic<Microseconds> last_request_at{0};
    std::atomic<bool> tick_waiting{false};
    Microseconds started_at = 0;
    std::map<std::uint64_t, std::function<void(ClaimDone)>> claim_waiters;  // inside control_work
    std::map<std::uint64_t, std::function<void(CallDone)>> call_waiters;    // inside control_work
    std::array<std::uint64_t, partition_count> logged_terms{};              // this and the next two inside control_work
    std::array<bool, partition_count> logged_leased{};
    bool load_relayed = false;                 // same value as in the table
    RestingPolicy resting;                     // inside control_work
    std::atomic<Microseconds> awake_until{0};  // set when a request wakes this resting node
    Orders orders;                             // inside control_work
    ListPolling list_polling;                  // inside control_work; its limits are set once
    WeightsController weights_controller;      // inside control_work
    std::atomic<bool> weights_under_way{false};
    std::mutex report_lock;
    std::map<std::string, ReplicaReport> reports;  // under report_lock

    using Work = WorkQueue::Work;
    WorkQueue control_work;                     // serializes all access to the control state machines
    std::vector<WorkQueue> interpreter_queues;  // one for each worker: interprets inference requests
    std::atomic<std::size_t> next_interpreter_queue{0};
    std::array<std::atomic<std::uint64_t>, partition_count> fences_sent{};  // the highest fence sent, by partition
    std::unique_ptr<tcp::acceptor> acceptor;                                // used only on accept_strand once running
    asio::strand<asio::io_context::executor_type> accept_strand{context.get_executor()};
    ReplicaPool pool;                                               // used only on a relaying node's one thread
    std::array<std::unique_ptr<tcp::acceptor>, 3> relay_acceptors;  // by RelayListener
    std::vector<std::thread> threads;
    std::thread disk_thread;
    std::promise<void> disk_ended;  // set by the disk thread
    std::mutex disk_lock;
    std::condition_variable disk_signal;      // wakes the disk thread
    std::condition_variable disk_ready;       // from the disk thread to the start
    std::vector<Save> disk_queue;             // this and the next three under disk_lock
    std::optional<DiskHolding> disk_holding;  // loaded and not yet taken over
    bool disk_takeover_allowed = false;       // the start has completed
    bool disk_stop = false;

    auto start() -> leaf::result<void>;
    auto run() -> void;
    auto interpret_in_turn(Work work) -> void;
    auto in_control(Work work) -> void { control_work.put(std::move(work)); }
    auto apply_output(ControlOutput output) -> void;
    auto publish_snapshot() -> void;
    auto take_scheduling_options(SchedulingOptions options) -> void;
    auto relay_changes() -> void;                              // installs the change functions of a relaying fleet
    auto take_services(Snapshot& fresh) -> void;               // applies the services document to listed replicas
    WeightsGuard weights_guard;                                // under table.lock
    auto take_replica_weights(Snapshot const& fresh) -> void;  // under table.lock
    auto tick_control() -> void;
    auto log_partitions(Microseconds now) -> void;
    auto report_load(Microseconds now, std::unique_lock<std::mutex> guard) -> void;  // under table.lock
    auto judge_load(Microseconds now) -> void;  // decides whether load goes through relays
    auto make_call(Call call, std::function<void(CallDone)> done) -> void;
    auto recover_fleet(std::function<void(CallDone)> done) -> void;
    auto make_claim(InferenceRequest const& inference, bool release, std::function<void(ClaimDone)> done) -> void;
    auto release(std::string const& replica, std::uint64_t request_number) -> void;
    auto try_ended(
        std::string const& replica, InferenceRequest const& inference, TryEnd end, std::string const& reason,
        Microseconds sent_at) -> void;
    auto lifecycle_facts(std::string const& replica) const -> LifecycleFacts;
    auto work_limits_at(std::string const& replica, Microseconds now) const -> WorkLimits;
    auto refusal_limit() const -> Microseconds { return refusal_limit_of(settings.bounds); }
    // `proven`: the proof time, read before the snapshot that the refusal is based on (design 8.3).
    auto may_refuse(Microseconds proven) const -> bool;
    auto note_refusal(int status, Sequence const& sequence) -> void;
    auto take_proof() -> void;
    auto proof_limit() const -> Microseconds { return table.scheduler.proof_limit; }  // fixed at the start
    auto proof_age(Microseconds now) const -> Microseconds { return now - proven_at.load(); }
    auto ready(Microseconds now) const -> bool;
    auto schedule_locked(Microseconds now) -> void { table.schedule_locked(now, proof_age(now)); }

    auto run_disk() -> void;
    // Waits a limited time for the write in progress, so that a hung disk does not block the shutdown.
    auto stop_disk() -> void;
    auto disk_state(Microseconds now) const -> DiskState;
    auto log_disk(Microseconds now) -> void;
    auto pause_disk(std::chrono::milliseconds& length) -> bool;
    auto try_disk(std::function<bool()> const& work) -> bool;
    auto load_disk() -> std::optional<DiskHolding>;
    auto await_disk() -> std::optional<DiskHolding>;
    auto allow_disk_takeover() -> void;
    auto deliver_disk_state(DiskHolding holding) -> bool;
    auto take_disk(DiskHolding const& holding) -> void;
    auto next_saves() -> std::vector<Save>;
    auto report_saves(std::vector<Save> const& batch, bool good) -> void;
    auto write_saves(std::vector<Save> batch) -> bool;
    auto tick_milliseconds() const -> int;
    auto tick_loop() -> awaitable<void>;
    auto list_loop() -> awaitable<void>;
    auto report_loop(std::string name) -> awaitable<void>;
    auto report_manager() -> awaitable<void>;
    auto order_loop() -> awaitable<void>;
    auto send_order(Order order) -> awaitable<void>;
    auto relay_list_loop() -> awaitable<void>;
    auto read_whole_list(HttpConnection& connection) -> awaitable<std::optional<ListReading>>;
    auto weights_loop() -> awaitable<void>;
    auto step_weights() -> void;
    auto lease_checked(int partition, std::uint64_t fence) -> awaitable<std::optional<invariants::OrderFacts>>;
    // Invariant checks on outgoing messages, just before they are sent; false: it would break one and must not be sent.
    auto refusal_leaves(int status) const -> bool;
    auto request_leaves(RequestLifecycle const& lifecycle, LifecycleFacts const& facts) const -> bool;
    auto check_before_send(RequestLifecycle const& lifecycle) const -> SendCheck;  // the same checks, once connected
    auto order_leaves(int partition, invariants::OrderFacts facts, Microseconds wait) -> bool;
    auto learn_versions(Snapshot& fresh, Snapshot const& old) const -> void;
    auto send_addressed_order(AddressedOrder order) -> awaitable<void>;
    auto request_report(ReportRequest asked) -> awaitable<void>;
    auto poll_metrics(std::string& text) const -> void;
    auto rest_loop() -> awaitable<void>;
    auto step_resting() -> void;
    auto wake() -> void;
    auto judge_resting(Microseconds now) -> void;
    auto accept_loop() -> awaitable<void>;
    auto take_addresses() -> leaf::result<void>;
    auto listen_everywhere() -> std::optional<ListenFailure>;
    auto listen_at(std::string const& address, std::unique_ptr<tcp::acceptor>& into) -> std::optional<ListenFailure>;
    auto has_room_for_client() const -> bool;
    auto relay_accept(tcp::acceptor& from, RelayListener door) -> awaitable<void>;
    auto sweep_loop() -> awaitable<void>;
    auto parts_manager() -> awaitable<void>;
    auto sources_to_read(Snapshot const& current) const -> std::map<std::string, CacheSource>;
    auto step_parts() -> void;
    auto take_sources(std::map<std::string, CacheSource> sources) -> std::vector<std::pair<std::string, bool>>;
    auto parts_loop(std::string name, bool store, std::uint64_t since, std::string life) -> awaitable<void>;
    auto parts_address(std::string const& name) -> std::string;
    auto parts_reported(CacheBatch batch, bool restarted) -> void;
    auto take_cache_batch(CacheBatch const& batch, bool forget) -> void;
    auto take_feed(std::vector<CacheFeed::Taken> const& reported) -> void;
    auto catch_up_loop() -> awaitable<void>;
    auto next_to_catch_up() -> std::string;
    auto stop_gracefully() -> awaitable<void>;
    // Installs handlers: from now on SIGTERM, SIGINT and SIGHUP no longer end the process by default.
    auto await_signals() -> void;
    auto await_stop() -> void;
    auto await_reload() -> void;
    auto begin_stop() -> void;
    auto take_limits() -> void;
    auto reload() -> void;
    auto poll_settings_file(Microseconds now) -> void;
    auto metrics_text(Microseconds now) -> std::string;

    std::filesystem::file_time_type settings_time;  // used only in tick_loop once running
    Microseconds settings_polled_at = 0;
    std::set<std::string> report_loops;             // under loops_lock: names that a loop polls or reads
    std::map<std::string, CacheSource> parts_read;  // under loops_lock: the cache event sources that this node reads
    std::set<std::string> parts_missed;             // under loops_lock: sources whose events arrived with a gap
    std::mutex loops_lock;
};

}  // namespace dockrock
