// The operator and readiness endpoints of a relaying node, on real sockets: which node may answer a read of the
// configuration, and with what. docs/users-rules.md, sections 1 and 5.
#include <catch2/catch.hpp>

#include "connection/relay_session.hpp"
#include "process/clock.hpp"
#include "process/node.hpp"

using namespace dockrock;

namespace {

// A node that leads the configuration's partition, with a synced follower and one connection to one of its endpoints.
struct Door {
    asio::io_context context{1};
    WireProtocol protocol;
    std::unique_ptr<Node> node = std::make_unique<Node>();
    tcp::acceptor acceptor{context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    tcp::socket client{context};
    std::string seen;  // bytes received by the client
    bool ticks = false;

    explicit Door(RelayListener door) {
        protocol.configuration_path = "/document";
        protocol.weights_path = "/weights";
        protocol.documents.read_document = [](std::string_view, Problems&) { return std::optional(document()); };
        node->protocol = &protocol;
        node->settings.bounds.revoke = 5 * one_second;
        node->take_limits();
        node->control_work.start();
        node->snapshot = ready_snapshot();
        node->proven_at = clock_now();
        lead();
        client.connect(acceptor.local_endpoint());
        client.non_blocking(true);
        auto serve = door == RelayListener::ready ? serve_ready : serve_operator;
        asio::co_spawn(context, serve(*node, acceptor.accept()), asio::detached);
        asio::co_spawn(context, tick(), asio::detached);
    }
    static auto document() -> ServiceDocument {
        auto made = ServiceDocument();
        made.version = 1;
        auto& route = made.routes.emplace_back();
        route.name = "r";
        route.host = "h";
        route.prefix = "/";
        route.split = {{"s", 1}};
        made.services.emplace_back().name = "s";
        return made;
    }
    static auto ready_snapshot() -> std::shared_ptr<Snapshot> {
        auto rules = std::make_shared<Rules>();
        rules->services = compile_services(document());
        auto fresh = std::make_shared<Snapshot>();
        fresh->rules = rules;
        fresh->list.replicas.push_back({"life-1", "127.0.0.1:9", "s", "area", 4, 1'000});
        return fresh;
    }
    auto machine() -> Partition& { return node->control.partitions[configuration_partition]; }
    auto lead() -> void {
        auto& control = node->control;
        limit_calls(control.times);
        control.membership.self.identity = "a";
        control.membership.self.control_address = "127.0.0.1:1";
        machine().machines_lost = 1;
        machine().votes.decided = Record{1, "a", {"b"}, {"a", "b", "c", "d"}};
        machine().reset_progress(clock_now());
        hold("first-document", 1);
        grant(clock_now() + 60 * one_second);  // valid for the whole test
    }
    auto hold(std::string const& text, std::uint64_t number) -> void {
        auto& copy = machine().copy;
        copy.document = text;
        copy.sequence = machine().synced = machine().progress["b"].synced_sequence = {1, number};
        machine().last_written = copy.sequence;
        machine().committed = copy;
    }
    auto grant(Microseconds asked_at) -> void {
        for (auto const* voter : {"a", "b"}) machine().grants[voter] = asked_at;
    }
    auto tick() -> awaitable<void> {
        auto timer = asio::steady_timer(co_await asio::this_coro::executor);
        while (true) {
            if (ticks) node->in_control([this] { node->apply_output(node->control.tick(clock_now())); });
            timer.expires_after(std::chrono::milliseconds(25));
            co_await timer.async_wait(use_tuple);
        }
    }
    auto say(std::string const& method, std::string const& target, std::string const& more = "") -> void {
        auto const text = method + " " + target + " HTTP/1.1\r\nHost: h\r\n" + more + "\r\n";
        boost::system::error_code failure;
        REQUIRE(client.write_some(asio::buffer(text), failure) == text.size());
    }
    auto run_for(Microseconds length) -> void {
        auto const end = clock_now() + length;
        while (clock_now() < end) {
            context.run_one_for(std::chrono::milliseconds(5));
            auto bytes = std::array<char, 65'536>();
            boost::system::error_code failure;
            while (auto const size = client.read_some(asio::buffer(bytes), failure)) seen.append(bytes.data(), size);
        }
    }
    auto heard(std::string const& what) const -> std::size_t {
        auto count = std::size_t{0};
        for (auto at = seen.find(what); at != std::string::npos; at = seen.find(what, at + 1)) ++count;
        return count;
    }
};

constexpr auto moment = 60 * one_millisecond;

}  // namespace

TEST_CASE("a leader with a lease answers a read with the committed state, whatever the client holds") {
    auto door = Door(RelayListener::operators);
    door.say("GET", "/document");
    door.run_for(moment);
    CHECK(door.heard("HTTP/1.1 200") == 1);
    CHECK(door.heard("first-document") == 1);
    door.hold("second-document", 2);
    for (auto const* condition : {"If-None-Match: \"1.1\"\r\n", "If-Modified-Since: Wed, 01 Jan 2031 00:00:00 GMT\r\n"})
        door.say("GET", "/document", condition);
    door.say("GET", "/document?again");
    door.run_for(moment);
    CHECK(door.heard("HTTP/1.1 200") == 4);
    CHECK(door.heard("second-document") == 3);
    CHECK(door.heard("first-document") == 1);
}

TEST_CASE("a leader resumed after its lease expired answers a read with 503 within a second, never with its state") {
    auto door = Door(RelayListener::operators);
    door.say("GET", "/document");
    door.run_for(moment);
    REQUIRE(door.heard("HTTP/1.1 200") == 1);
    door.grant(clock_now() - door.machine().times.lease_duration);  // its proof is still fresh
    REQUIRE(door.node->control.proof_age(configuration_partition, clock_now()) < one_second);
    door.seen.clear();
    door.ticks = true;
    door.say("GET", "/document");
    door.run_for(950 * one_millisecond);
    CHECK(door.heard("HTTP/1.1 503") == 1);
    CHECK(door.heard("Retry-After: ") == 1);
    CHECK(door.heard("first-document") == 0);
    CHECK(door.heard("HTTP/1.1 200") == 0);
}

// Guards against endless 503 for a body that can never be forwarded to the leader.
TEST_CASE("a change that is not UTF-8 gets 400 at any node, not 503") {
    auto door = Door(RelayListener::operators);
    door.grant(clock_now() - door.machine().times.lease_duration);  // its lease has expired
    door.ticks = true;
    auto const body = std::string("{\"ver\":2,\"name\":\"\xff\"}");
    for (auto const* method : {"PUT", "PATCH"}) {
        door.seen.clear();
        door.say(method, "/document", "Content-Length: " + std::to_string(body.size()) + "\r\n");
        REQUIRE(asio::write(door.client, asio::buffer(body)) == body.size());
        door.run_for(moment);
        CHECK(door.heard("HTTP/1.1 400") == 1);
    }
}

TEST_CASE("an answer to HEAD has no body on the operator and readiness endpoints") {
    for (auto const which : {RelayListener::operators, RelayListener::ready}) {
        auto door = Door(which);
        door.say("HEAD", "/document");
        door.say("GET", "/document");
        door.run_for(moment);
        auto const end = door.seen.find("\r\n\r\n");
        REQUIRE(end != std::string::npos);
        CHECK(door.seen.substr(end + 4).starts_with("HTTP/1.1 200"));
    }
}

TEST_CASE("a stopping node is not ready, also on a persistent connection") {
    auto door = Door(RelayListener::ready);
    door.say("GET", "/ready");
    door.run_for(moment);
    CHECK(door.heard("HTTP/1.1 200") == 1);
    door.node->stopping = true;
    door.say("GET", "/ready");
    door.say("GET", "/ready");
    door.run_for(moment);
    CHECK(door.heard("HTTP/1.1 200") == 1);
    CHECK(door.heard("HTTP/1.1 503") == 2);
}

TEST_CASE("a node without a configuration, without replicas or with an old proof is not ready") {
    auto const status = [](auto change) {
        auto door = Door(RelayListener::ready);
        change(*door.node);
        door.say("GET", "/ready");
        door.run_for(moment);
        return door.seen.substr(0, 12);
    };
    auto const without = [](auto change) {
        return [change](Node& node) {
            auto fresh = Door::ready_snapshot();
            change(*fresh);
            node.snapshot = fresh;
        };
    };
    CHECK(status([](Node&) {}) == "HTTP/1.1 200");
    CHECK(status(without([](Snapshot& fresh) { fresh.rules = std::make_shared<Rules>(); })) == "HTTP/1.1 503");
    CHECK(status(without([](Snapshot& fresh) { fresh.list.replicas.clear(); })) == "HTTP/1.1 503");
    CHECK(status([](Node& node) { node.proven_at = clock_now() - node.proof_limit(); }) == "HTTP/1.1 503");
}
