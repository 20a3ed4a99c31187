// A replica's connections, its slots and its queue.
#include "replica.hpp"

namespace dockrock::platform_stand_in {

namespace {
constexpr auto reports_held = std::size_t{500};
constexpr auto body_limit = std::uint64_t{32U << 20U};

auto is_control(Replica const& replica, Request const& request) -> bool {
    auto const target = std::string_view(request.target().data(), request.target().size());
    auto const health = request.method() == http::verb::get && target == replica.options.health_path;
    return target.starts_with("/-/") || health;
}

using Parser = http::request_parser<http::string_body>;
constexpr auto long_body = std::uint64_t{65'536};
constexpr auto before_the_rest = Milliseconds{150};

// True where the replica has forgotten the connection and resets what comes on it.
auto forgotten(ReplicaPointer replica, ConnectionPointer connection) -> awaitable<bool> {
    if (replica->faults.forget <= 0 || connection->buffer.size() > 0) co_return false;
    auto const since = now();
    auto const [failure] = co_await connection->stream.socket().async_wait(tcp::socket::wait_read, as_values);
    if (failure || now() - since < replica->faults.rested || !replica->hit(replica->faults.forget)) co_return false;
    replica->reset(connection);
    ++replica->forgotten;
    co_return true;
}

// Turned away before its body is in; what then comes where the rest of the body is due is kept for the verdict.
auto answer_early(ReplicaPointer replica, ConnectionPointer connection, Parser& parser) -> awaitable<bool> {
    auto const identity = header_of(parser.get(), "Request-Id");
    auto told = identity;
    auto const kept = co_await turn_away(replica, connection, std::move(told), 503);
    co_await pause(before_the_rest);
    auto const [failure, size] = co_await http::async_read(connection->stream, connection->buffer, parser, as_values);
    auto early = EarlyAnswer{identity, replica->id};
    early.whole = !failure;
    early.body = digest_of(parser.get().body());
    replica->around.record.early.push_back(early);
    co_return kept && !failure;
}

auto serve(ReplicaPointer replica, ConnectionPointer connection) -> awaitable<void> {
    replica->connections.insert(connection);
    auto first = true;
    while (replica->alive) {
        auto parser = Parser();
        parser.body_limit(body_limit);
        connection->stream.expires_after(
            std::chrono::seconds(std::max<std::int64_t>(1, replica->options.idle_seconds)));
        if (!first && co_await forgotten(replica, connection)) break;
        auto const [cut, head_size] =
            co_await http::async_read_header(connection->stream, connection->buffer, parser, as_values);
        if (cut || !replica->alive) break;
        if (parser.content_length().value_or(0) > long_body && replica->hit(replica->faults.early)) {
            if (!co_await answer_early(replica, connection, parser)) break;
            first = false;
            continue;
        }
        auto const [failure, size] =
            co_await http::async_read(connection->stream, connection->buffer, parser, as_values);
        if (failure || !replica->alive) break;
        connection->stream.expires_never();
        auto request = parser.release();
        if (!first && !connection->owed.empty()) {
            auto owed = std::exchange(connection->owed, "");
            if (!co_await send_text(connection, std::move(owed))) break;
        }
        first = false;
        auto keep = false;
        if (is_control(*replica, request)) keep = co_await answer_control(replica, connection, std::move(request));
        else keep = co_await run_request(replica, connection, std::move(request));
        if (!keep) break;
    }
    boost::system::error_code ignored;
    connection->stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
    connection->stream.close();
    replica->connections.erase(connection);
}

auto accept_all(ReplicaPointer replica, std::shared_ptr<tcp::acceptor> acceptor) -> awaitable<void> {
    while (replica->alive) {
        auto [failure, socket] = co_await acceptor->async_accept(as_values);
        if (!replica->alive) break;
        if (failure) {
            co_await pause(5);
            continue;
        }
        auto const full = static_cast<std::int64_t>(replica->connections.size()) >= replica->options.max_connections;
        auto connection = std::make_shared<Connection>(Connection{beast::tcp_stream(std::move(socket)), {}, {}});
        if (full) {
            replica->reset(connection);
            continue;
        }
        boost::system::error_code ignored;
        connection->stream.socket().set_option(tcp::no_delay(true), ignored);
        asio::co_spawn(acceptor->get_executor(), serve(replica, connection), asio::detached);
    }
}
}  // namespace

auto parse_head(Request const& request) -> Parsed {
    auto const number = [&](std::string_view name, std::int64_t fallback) {
        auto const text = header_of(request, name);
        return text.empty() ? fallback : static_cast<std::int64_t>(std::strtoll(text.c_str(), nullptr, 10));
    };
    auto head = Parsed();
    head.identity = header_of(request, "Request-Id");
    head.model = header_of(request, "Model");
    head.salt = header_of(request, "Cache-Salt");
    head.tenant = header_of(request, "Tenant");
    head.stream = !header_of(request, "Tokens").empty();
    auto const tokens = split(header_of(request, "Tokens"), ',');
    if (!tokens.empty()) head.prompt = std::strtoll(tokens[0].c_str(), nullptr, 10);
    if (tokens.size() > 1) head.out = std::strtoll(tokens[1].c_str(), nullptr, 10);
    head.deadline = number("Deadline-Ms", 60'000);
    head.last_event = number("Last-Event-Id", 0);
    head.urgency = number("Urgency", 5);
    head.parts = read_parts(header_of(request, "Prefix-Hash"));
    return head;
}

auto Replica::report() const -> json::object {
    auto object = json::object();
    auto model = json::object();
    model["name"] = options.model;
    model["ver"] = version;
    model["loras"] = json::array();
    object["phase"] = "both";
    object["models"] = options.model.empty() ? json::array() : json::array{model};
    object["busy"] = loading;
    object["seq"] = sequence;
    object["queued"] = waiting.size();
    object["active"] = active;
    object["kvUse"] = 0;
    object["kvCap"] = kept.options.tokens;
    object["can"] = 0;
    return object;
}

auto Replica::note() -> void {
    reports.emplace_back(now(), report());
    if (reports.size() > reports_held) reports.pop_front();
}

auto Replica::admit() -> void {
    while (active < options.slots && !waiting.empty()) {
        auto const less = [](auto const& left, auto const& right) {
            return std::pair(left->urgency, left->number) < std::pair(right->urgency, right->number);
        };
        auto const next = std::min_element(waiting.begin(), waiting.end(), less);
        auto const chosen = *next;
        waiting.erase(next);
        chosen->admitted = true;
        ++active;
        chosen->bell->cancel();
    }
    note();
}

auto Replica::reset(ConnectionPointer const& connection) -> void {
    boost::system::error_code ignored;
    connection->stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    connection->stream.close();
}

auto Replica::end() -> void {
    alive = false;
    around.record.ended.push_back({id, now()});
    boost::system::error_code ignored;
    if (acceptor) acceptor->close(ignored);
    for (auto const& connection : std::set<ConnectionPointer>(connections)) reset(connection);
    for (auto const& item : waiting) item->bell->cancel();
    if (auto const place = around.by_address.find(options.address);
        place != around.by_address.end() && place->second.get() == this)
        around.by_address.erase(place);
}

auto reason_of(std::int64_t status) -> std::string_view {
    auto const text = http::obsolete_reason(static_cast<http::status>(status));
    return {text.data(), text.size()};
}

auto common_lines(Replica& replica, std::string const& identity, bool closing) -> std::string {
    auto const& options = replica.options;
    auto lines = std::string();
    if (!identity.empty()) lines += "Request-Id: " + identity + "\r\n";
    if (options.load_header)
        lines += "Load: " + std::to_string(replica.active) + "," + std::to_string(replica.waiting.size()) + "," +
            std::to_string(options.slots) + "\r\n";
    if (closing) return lines + "Connection: close\r\n";
    return lines + "Keep-Alive: timeout=" + std::to_string(options.idle_seconds) + "\r\n";
}

auto whole_answer(std::int64_t status, std::string const& lines, std::string const& body) -> std::string {
    return "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason_of(status)) + "\r\n" + lines +
        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto send_text(ConnectionPointer connection, std::string text) -> awaitable<bool> {
    auto const [failure, size] = co_await asio::async_write(connection->stream, asio::buffer(text), as_values);
    co_return !failure;
}

auto start_replica(asio::io_context& context, Surroundings& around, ReplicaOptions options, KeptOptions kept)
    -> ReplicaPointer {
    auto const endpoint = endpoint_of(options.address);
    if (!endpoint) return nullptr;
    auto acceptor = std::make_shared<tcp::acceptor>(context);
    boost::system::error_code failure;
    acceptor->open(endpoint->protocol(), failure);
    acceptor->set_option(asio::socket_base::reuse_address(true), failure);
    acceptor->bind(*endpoint, failure);
    if (!failure) acceptor->listen(512, failure);
    if (failure) return nullptr;
    if (endpoint->port() == 0) {  // any free port, for tests
        auto const taken = acceptor->local_endpoint(failure);
        options.address = taken.address().to_string() + ":" + std::to_string(taken.port());
    }
    auto replica = std::make_shared<Replica>(Replica{around, std::move(options), {}, {}, {}});
    replica->id = "i-" + hex_of(around.random()).substr(8) + "-" + std::to_string(++around.lives);
    replica->version = replica->options.version;
    replica->kept.options = kept;
    replica->kept.boot = around.lives + 70'000;
    replica->acceptor = acceptor;
    replica->note();
    around.by_address[replica->options.address] = replica;
    asio::co_spawn(context, accept_all(replica, acceptor), asio::detached);
    return replica;
}

}  // namespace dockrock::platform_stand_in
