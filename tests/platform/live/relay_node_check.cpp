#include <catch2/catch.hpp>

#include <filesystem>
#include <thread>

#include "platform/calls.hpp"
#include "process/clock.hpp"
#include "process/node.hpp"

using namespace dockrock;

namespace {

// A list of two pages and eight replicas behind one port each, as the protocol
// has them; each load takes its time.
struct StandIn {
    struct Replica {
        std::string name;
        std::int64_t version = 1;
        std::int64_t loading = 0;
        Microseconds done_at = 0;
        int loads = 0;
        std::uint64_t orders = 0;
    };
    asio::io_context context;
    std::mutex lock;
    std::vector<Replica> replicas;
    std::vector<std::unique_ptr<tcp::acceptor>> acceptors;  // the list first
    std::vector<Microseconds> list_calls;
    int most_at_once = 0;
    std::set<std::string> holders;
    bool refuses = false;
    std::thread thread;

    explicit StandIn(int count) {
        for (auto number = 0; number < count; ++number) replicas.push_back({"i-" + std::to_string(number)});
        for (auto number = 0; number <= count; ++number) {
            acceptors.push_back(
                std::make_unique<tcp::acceptor>(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)));
            asio::co_spawn(context, accept(number), asio::detached);
        }
        thread = std::thread([this] { context.run(); });
    }
    ~StandIn() {
        context.stop();
        thread.join();
    }
    auto address(int number) const -> std::string {
        return "127.0.0.1:" + std::to_string(acceptors[static_cast<std::size_t>(number)]->local_endpoint().port());
    }
    auto accept(int number) -> awaitable<void> {
        while (true) {
            auto [failure, socket] = co_await acceptors[static_cast<std::size_t>(number)]->async_accept(use_tuple);
            if (failure) co_return;
            asio::co_spawn(context, serve(std::move(socket), number), asio::detached);
        }
    }
    auto serve(tcp::socket socket, int number) -> awaitable<void> {
        beast::flat_buffer buffer;
        while (true) {
            http::request<http::string_body> request;
            if (auto [failure, size] = co_await http::async_read(socket, buffer, request, use_tuple); failure)
                co_return;
            http::response<http::string_body> response(http::status::ok, 11);
            auto const [status, body] = number == 0 ? list(request) : replica(request, number - 1);
            response.result(static_cast<unsigned>(status));
            response.body() = body;
            response.prepare_payload();
            if (auto [failure, size] = co_await http::async_write(socket, response, use_tuple); failure) co_return;
        }
    }
    auto list(http::request<http::string_body> const& request) -> std::pair<int, std::string> {
        auto const guard = std::lock_guard(lock);
        list_calls.push_back(clock_now());
        if (refuses) return {429, ""};
        auto const second = std::string(request.target()) == "/replicas?pageToken=p-2";
        json::array entries;
        for (auto index = std::size_t{0}; index < replicas.size(); ++index) {
            if ((index % 2 == 1) != second) continue;
            auto const& item = replicas[index];
            entries.push_back(fields(
                "svc", "service", "addr", address(static_cast<int>(index) + 1), "zone", "z", "slots", 8, "state",
                "ready", "id", item.name, "models", json::array{fields("name", "m", "ver", item.version)}));
        }
        auto body = fields("replicas", std::move(entries));
        if (second) body["nextToken"] = nullptr;
        else body["nextToken"] = "p-2";
        return {200, json::serialize(body)};
    }
    auto replica(http::request<http::string_body> const& request, int index) -> std::pair<int, std::string> {
        auto const guard = std::lock_guard(lock);
        auto& item = replicas[static_cast<std::size_t>(index)];
        auto loading = 0;
        for (auto& other : replicas) {
            if (other.loading != 0 && clock_now() >= other.done_at) other.version = std::exchange(other.loading, 0);
            loading += other.loading != 0 ? 1 : 0;
        }
        if (request.method() == http::verb::get)
            return {
                200,
                json::serialize(fields(
                    "models", json::array{fields("name", "m", "ver", item.version)}, "busy", item.loading != 0, "seq",
                    item.orders))};
        if (request["Want-Replica"] != item.name) return {421, ""};
        auto const order = parse_json(request.body())->as_object();
        holders.insert(std::string(order.at("holder").as_string()));
        if (item.loading != 0) return {409, ""};
        item.loading = order.at("ver").as_int64();
        item.done_at = clock_now() + 700 * one_millisecond;
        ++item.orders;
        ++item.loads;
        most_at_once = std::max(most_at_once, loading + 1);
        return {202, ""};
    }
};

auto free_address() -> std::string {
    auto context = asio::io_context();
    auto acceptor = tcp::acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

auto wait_until(std::function<bool()> const& condition, Microseconds limit) -> bool {
    auto const end = clock_now() + limit;
    while (clock_now() < end && !condition()) std::this_thread::sleep_for(std::chrono::milliseconds(20));
    return condition();
}

}  // namespace

// Real clocks and sockets: a program of its own.
TEST_CASE("a node with a form reads the list and brings replicas to the version named") {
    auto stand_in = StandIn(8);
    auto protocol = WireProtocol();
    platform::fill_calls(protocol);
    auto const folder = std::filesystem::temp_directory_path() / ("dockrock-relay-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    auto node = std::make_unique<Node>();
    node->protocol = &protocol;
    node->settings.control_address = free_address();
    node->settings.http_address = free_address();
    node->settings.area = "z";
    node->settings.seeds = {node->settings.control_address};
    node->settings.data_folder = folder.string();
    node->settings.platform_address = stand_in.address(0);
    node->settings.core_count = 1;
    REQUIRE(node->start());
    auto runner = std::thread([&] { node->run(); });
    auto const part = partition_of_service("m");
    auto const listed = wait_until([&] { return node->snapshot.load()->list.replicas.size() == 8; }, 15 * one_second);
    auto named = std::atomic<int>(0);
    auto const name_it = [&] {
        node->make_call(
            Call{part, "one", "weights", "", R"({"m":2})"}, [&](CallDone const& done) { named = done.status; });
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        return named == 200;
    };
    auto const acknowledged = wait_until(name_it, 30 * one_second);  // once the fleet is formed
    auto const began = clock_now();
    auto const all_hold = [&] {
        auto const current = node->snapshot.load();
        auto count = 0;
        for (auto const& [name, word] : current->replica_weights)
            count += !word.loading && word.versions.contains("m") && word.versions.at("m") == 2 ? 1 : 0;
        return count == 8;
    };
    auto const held = wait_until(all_hold, 15 * one_second);
    auto const took = clock_now() - began;
    {
        auto const guard = std::lock_guard(stand_in.lock);
        stand_in.refuses = true;
        stand_in.list_calls.clear();
    }
    std::this_thread::sleep_for(std::chrono::seconds(6));
    auto text = std::string();
    node->poll_metrics(text);
    auto refused = std::size_t{0};
    {
        auto const guard = std::lock_guard(stand_in.lock);
        refused = stand_in.list_calls.size();
    }
    node->finished = true;
    node->context.stop();
    runner.join();
    std::filesystem::remove_all(folder);
    INFO(
        "status " << named << ", all after " << took / one_millisecond << " ms, refused calls " << refused << "\n"
                  << text);
    CHECK(listed);
    CHECK(acknowledged);
    CHECK(held);
    auto const guard = std::lock_guard(stand_in.lock);
    CHECK(stand_in.most_at_once == 3);
    for (auto const& replica : stand_in.replicas) CHECK(replica.loads == 1);
    CHECK(stand_in.holders.size() == 1);
    CHECK(refused > 1);
    CHECK(refused < 8);  // of 6 s
}
