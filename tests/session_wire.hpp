#pragma once
// A complete relay session on real sockets: a client's connection, the node's tables, one scripted replica. It runs in
// real time, on one thread.
#include "request_wire_helpers.hpp"

namespace dockrock::testing {

struct Kind {
    bool repeatable = false;
    bool stream = false;
    Microseconds timeout = 3 * one_second;
    Microseconds idle = 15 * one_second;
    std::int64_t places = 4;
    std::int64_t tries = 2;
    std::int64_t header_bytes = 16'384;
    int replicas = 1;  // instances at one address, all with the same script
};

struct SessionWire {
    Wire wire;
    bool session_over = false;
    std::string seen;  // bytes received by the client

    explicit SessionWire(Script script, Kind kind = Kind{}) : wire(std::move(script)) {
        wire.limit = kind.timeout;
        auto& node = *wire.node;
        node.started_at = clock_now();
        node.settings.bounds.revoke = 5 * one_second;
        node.take_limits();
        wire.judged(kind.repeatable, kind.stream);
        auto document = wire.rules->document;
        document.limits.idle_time = kind.idle;
        document.limits.header_bytes = kind.header_bytes;
        document.routes.front().tries = kind.tries;
        auto rules = std::make_shared<Rules>();
        rules->services = compile_services(document);
        auto fresh = std::make_shared<Snapshot>();
        fresh->rules = rules;
        auto const address = "127.0.0.1:" + std::to_string(wire.door.local_endpoint().port());
        for (auto number = 1; number <= kind.replicas; ++number)
            fresh->list.replicas.push_back(
                {"life-" + std::to_string(number), address, "s", "area", kind.places, 1'000'000});
        node.snapshot = fresh;
        node.table.scheduler.load_table.take_list(fresh->list);
        for (auto const& replica : fresh->list.replicas)
            node.table.scheduler.load_table.take_weights(replica.name, "", false);
        wire.client.non_blocking(true);
        asio::co_spawn(wire.context, tick(), asio::detached);
        asio::co_spawn(wire.context, wire.session->serve(), [this](std::exception_ptr) { end(); });
    }

    SessionWire(SessionWire const&) = delete;
    ~SessionWire() {
        leave();
        run_until([&] { return session_over; }, one_second);
    }

    // Closes the socket of a session that has returned.
    auto end() -> void {
        session_over = true;
        boost::system::error_code ignored;
        wire.session->client.socket().close(ignored);
    }
    auto tick() -> awaitable<void> {
        auto timer = asio::steady_timer(co_await asio::this_coro::executor);
        while (true) {
            wire.node->proven_at = clock_now();
            wire.node->table.schedule(clock_now(), 0);
            timer.expires_after(std::chrono::milliseconds(10));
            co_await timer.async_wait(use_tuple);
        }
    }
    auto say(std::string const& text) -> void {
        auto sent = std::size_t{0};
        run_until([&] {
            boost::system::error_code failure;
            sent += wire.client.write_some(asio::buffer(text) + sent, failure);
            return sent == text.size() || (failure && failure != asio::error::would_block);
        });
    }
    auto listen() -> void {
        auto bytes = std::array<char, 65'536>();
        boost::system::error_code failure;
        while (auto const size = wire.client.read_some(asio::buffer(bytes), failure)) seen.append(bytes.data(), size);
    }
    auto leave() -> void {
        boost::system::error_code ignored;
        wire.client.close(ignored);
    }
    template <typename Condition>
    auto run_until(Condition condition, Microseconds limit = 5 * one_second) -> bool {
        auto const end = clock_now() + limit;
        while (!condition()) {
            if (clock_now() > end) return false;
            wire.context.run_one_for(std::chrono::milliseconds(5));
        }
        return true;
    }
    auto run_for(Microseconds length) -> void {
        run_until([] { return false; }, length);
    }
    // `answers` counts `mark` in the bytes the client has received; `hear` runs until there are `count` of them.
    auto answers(std::string const& mark) const -> std::size_t {
        auto count = std::size_t{0};
        for (auto at = seen.find(mark); at != std::string::npos; at = seen.find(mark, at + 1)) ++count;
        return count;
    }
    auto hear(std::string const& mark, std::size_t count = 1, Microseconds limit = 5 * one_second) -> bool {
        return run_until(
            [&] {
                listen();
                return answers(mark) >= count;
            },
            limit);
    }
};

inline auto post(std::string const& name, std::size_t body = 4, std::string const& more = "") -> std::string {
    return "POST /a HTTP/1.1\r\nHost: h\r\nRequest-Name: " + name + "\r\n" + more +
        "Content-Length: " + std::to_string(body) + "\r\n\r\n" + std::string(body, 'b');
}

// A replica that answers and counts all requests.
inline auto answering(int& requests) -> Script {
    return [&requests](Peer& peer) -> awaitable<void> {
        while (co_await peer.until("bbbb")) {
            ++requests;
            auto const from = peer.read.find("Request-Name: ") + 14;
            auto const name = peer.read.substr(from, peer.read.find("\r\n", from) - from);
            peer.read.clear();
            co_await peer.say(answer_text(name, "text-of-" + name));
        }
    };
}

}  // namespace dockrock::testing
