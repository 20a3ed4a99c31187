#pragma once
// A relay session between a client and a scripted replica, on real sockets in one thread.
#include "connection/relay_session.hpp"
#include "connection/replica_pool.hpp"
#include "process/clock.hpp"
#include "process/node.hpp"

namespace dockrock::testing {

struct Peer {  // the replica's side of one connection
    tcp::socket socket;
    std::string read;
    int number = 0;                                    // of the connection
    auto until(std::string what) -> awaitable<bool> {  // reads until `what` has arrived
        auto from = std::size_t{0};
        while (read.find(what, from) == std::string::npos) {
            from = read.size() - std::min(read.size(), what.size());
            auto bytes = std::array<char, 4096>();
            auto const [failure, size] = co_await socket.async_read_some(asio::buffer(bytes), use_tuple);
            if (failure) co_return false;
            read.append(bytes.data(), size);
        }
        co_return true;
    }
    auto say(std::string text) -> awaitable<void> { co_await asio::async_write(socket, asio::buffer(text), use_tuple); }
    auto reset() -> void {
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    }
};
using Script = std::function<awaitable<void>(Peer&)>;

struct Wire {
    asio::io_context context{1};
    WireProtocol protocol;
    std::unique_ptr<Node> node = std::make_unique<Node>();
    tcp::acceptor door{context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    tcp::acceptor client_door{context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    tcp::socket client{context};
    std::unique_ptr<RelaySession> session;
    std::shared_ptr<ServiceRules const> rules;
    Script script;
    int accepted = 0;
    std::string last_read;  // all input of the connection that ended last
    Microseconds limit = 3 * one_second;

    explicit Wire(Script given) : script(std::move(given)) {
        protocol.headers.request_identity = "Request-Name";
        protocol.headers.not_run = "Untouched";
        protocol.headers.stamp = "Stamp";
        node->protocol = &protocol;
        client.connect(client_door.local_endpoint());
        session.reset(
            new RelaySession{*node, beast::tcp_stream(client_door.accept()), {}, std::make_shared<ClientWatch>()});
        asio::co_spawn(context, accept(), asio::detached);
    }
    auto accept() -> awaitable<void> {
        while (true) {
            auto [failure, socket] = co_await door.async_accept(use_tuple);
            if (failure) co_return;
            asio::co_spawn(context, serve(std::move(socket), ++accepted), asio::detached);
        }
    }
    auto serve(tcp::socket socket, int number) -> awaitable<void> {
        auto peer = Peer{std::move(socket), "", number};
        co_await script(peer);
        last_read = peer.read;
    }
    auto judged(bool repeatable, bool stream) -> RelayVerdict {
        auto document = ServiceDocument();
        auto route = Route();
        route.name = "r";
        route.prefix = "/";
        route.host = "h";
        route.stream = stream;
        route.repeatable = repeatable;
        route.resumable = stream && repeatable;
        route.timeout = limit;
        route.tries = 2;
        route.split = {{"s", 1}};
        document.services.emplace_back().name = "s";
        document.routes.push_back(route);
        rules = compile_services(document);
        auto arrival = RelayedRequest();
        arrival.method = "POST";
        arrival.path = "/a";
        arrival.host = "h";
        arrival.identity = "id-1";
        arrival.now = clock_now();
        return interpret_relayed(rules, arrival);
    }
    // Sets the state that the checks before sending read: the replica is listed, and the proof is fresh.
    auto know(bool drain) -> void {
        auto fresh = std::make_shared<Snapshot>();
        fresh->rules = std::make_shared<Rules>();
        fresh->list.replicas.push_back({"life-1", "", "s", "area", 4, 1'000});
        fresh->list.replicas.back().drain = drain;
        node->snapshot = fresh;
        node->proven_at = clock_now();
    }
    auto course_of(RelayVerdict const& verdict) -> RequestLifecycle {
        know(false);
        auto lifecycle = RequestLifecycle();
        lifecycle.inference = verdict.verdict.inference;
        lifecycle.placement.replica = "life-1";
        lifecycle.placement.address = "127.0.0.1:" + std::to_string(door.local_endpoint().port());
        return lifecycle;
    }
    auto send(HttpRequest const& request, RequestLifecycle& lifecycle, RelayAnswer& answer, RelayVerdict const& verdict)
        -> TryResult {
        auto result = TryResult();
        auto done = false;
        asio::co_spawn(
            context, session->send_try(request, verdict, lifecycle, answer), [&](std::exception_ptr, TryResult made) {
                result = std::move(made);
                done = true;
            });
        while (!done) context.run_one();
        return result;
    }
    // The first try of a new request.
    auto ask(std::string name = "id-1", bool stream = false, std::size_t body = 4) -> TryResult {
        auto const verdict = judged(false, stream);
        auto lifecycle = course_of(verdict);
        auto answer = RelayAnswer();
        return send(request(name, body), lifecycle, answer, verdict);
    }
    static auto request(std::string const& name, std::size_t body, http::verb method = http::verb::post)
        -> HttpRequest {
        auto request = HttpRequest(method, "/a", 11);
        request.set(http::field::host, "h");
        request.set("Request-Name", name);
        request.body() = std::string(body, 'b');
        return request;
    }
    auto pooled() const -> std::size_t {
        auto const found = node->pool.idle.find("life-1");
        return found == node->pool.idle.end() ? 0 : found->second.size();
    }
    auto seen_by_client() -> std::string {
        auto text = std::string();
        client.non_blocking(true);
        auto bytes = std::array<char, 4096>();
        boost::system::error_code failure;
        while (auto const size = client.read_some(asio::buffer(bytes), failure)) text.append(bytes.data(), size);
        return text;
    }
};

inline auto answer_text(
    std::string const& name, std::string const& body, std::string status = "200 OK", std::string more = "Stamp: s\r\n")
    -> std::string {
    return "HTTP/1.1 " + status + "\r\nRequest-Name: " + name + "\r\n" + more +
        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Reads one small request, then sends the given text and proceeds as given.
inline auto saying(std::string text, bool reset = false, bool close = true) -> Script {
    return [text, reset, close](Peer& peer) -> awaitable<void> {
        co_await peer.until("bbbb");
        co_await peer.say(text);
        if (reset) peer.reset();
        if (!reset && !close) co_await peer.until("never");
    };
}

}  // namespace dockrock::testing
