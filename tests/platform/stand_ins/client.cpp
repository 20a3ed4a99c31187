#include "client.hpp"

#include <cmath>

namespace dockrock::platform_stand_in {

namespace {
constexpr auto most_tries = 4;
constexpr auto connect_limit = Milliseconds{1000}, watch_every = Milliseconds{1000}, least_silence = Milliseconds{2000};
constexpr auto settled = std::array<std::int64_t, 5>{400, 401, 404, 413, 431};
constexpr auto promises = std::array<std::int64_t, 4>{408, 421, 429, 503};

auto holds(auto const& list, std::int64_t status) -> bool {
    return std::find(list.begin(), list.end(), status) != list.end();
}

auto take_line(Clients& clients, std::string const& node) -> LinePointer {
    auto& idle = clients.idle[node];
    std::erase_if(idle, [](auto const& line) { return line->idle_until < now(); });
    if (idle.empty() || !chance(clients.random, clients.reuse)) return nullptr;
    auto const line = idle.back();
    idle.pop_back();
    return line;
}

auto give_back(Clients& clients, std::string const& node, LinePointer const& line, Reply const& reply) -> void {
    if (!reply.keep || reply.failure != Failure::none || reply.extra) return;
    auto idle = Milliseconds{3000};
    auto const told = header_of(reply, "Keep-Alive");
    if (auto const place = told.find("timeout="); place != std::string::npos)
        idle = std::min<Milliseconds>(idle, 1000 * std::strtoll(told.c_str() + place + 8, nullptr, 10) - 200);
    line->stream.expires_never();
    line->idle_until = now() + idle;
    clients.idle[node].push_back(line);
}

auto call_of(Requesting const& requesting, std::string const& identity, Milliseconds left, bool chunked) -> Call {
    auto const& kind = requesting.kind;
    auto call = Call();
    call.method = http::string_to_verb(kind.method);
    call.target = kind.path;
    call.body = kind.method == "GET" ? "" : requesting.body;
    call.chunked = chunked && !call.body.empty();
    call.headers.emplace_back("Request-Id", identity);
    call.headers.emplace_back("Deadline-Ms", std::to_string(left));
    if (!kind.open && !requesting.key.empty()) call.headers.emplace_back("Key", requesting.key);
    if (kind.type != "stream") return call;
    call.headers.emplace_back("Model", kind.model);
    call.headers.emplace_back("Tokens", std::to_string(kind.prompt) + "," + std::to_string(kind.out));
    call.headers.emplace_back("Prefix-Hash", requesting.parts);
    if (requesting.last_event > 0) call.headers.emplace_back("Last-Event-Id", std::to_string(requesting.last_event));
    return call;
}

auto note_sent(
    Clients& clients, Requesting const& requesting, std::string const& identity, std::string const& node,
    Call const& call, Milliseconds until, bool kept) -> void {
    auto const& kind = requesting.kind;
    auto sent = Sent{identity, now(), node, kind.method, kind.host, kind.path, requesting.key, digest_of(call.body)};
    sent.repeatable = is_repeatable(kind);
    sent.stream = kind.type == "stream";
    sent.resume = kind.resume;
    sent.last_event = requesting.last_event;
    sent.kept = kept;
    sent.until = until;
    clients.record.sent.push_back(sent);
}

auto note_answer(Clients& clients, std::string const& identity, Reply const& reply) -> void {
    auto answer = Answer{
        identity,
        now(),
        reply.status,
        header_of(reply, "Request-Id"),
        header_of(reply, "Seal"),
        header_of(reply, "Content-Encoding"),
        reply.body};
    answer.complete = reply.failure == Failure::none && reply.status > 0;
    answer.malformed = reply.failure == Failure::malformed;
    answer.extra = reply.extra;
    answer.closed = reply.failure == Failure::cut;
    clients.record.answers.push_back(std::move(answer));
}

auto wait_before(Reply const& reply, Milliseconds left, bool hasty) -> Milliseconds {
    if (hasty) return 1;
    auto const told = header_of(reply, "Retry-After");
    auto const wish = told.empty() ? 30 : static_cast<Milliseconds>(1000.0 * std::strtod(told.c_str(), nullptr));
    return std::clamp<Milliseconds>(wish, 1, left / 3 + 1);
}

auto one_try(Clients& clients, Requesting const& requesting, std::string node, Milliseconds until, bool fresh)
    -> awaitable<Reply> {
    auto line = fresh ? nullptr : take_line(clients, node);
    auto const reused = line != nullptr;
    if (!line) line = co_await open_line(node, std::min(connect_limit, std::max<Milliseconds>(1, until - now())));
    auto reply = Reply();
    reply.failure = Failure::not_connected;
    if (!line) co_return reply;
    auto const identity = hex_of(clients.random());
    auto const call =
        call_of(requesting, identity, std::max<Milliseconds>(1, until - now()), chance(clients.random, 0.3));
    note_sent(clients, requesting, identity, node, call, until, reused);
    auto const& kind = requesting.kind;
    auto const silence = kind.type == "stream" ? std::max({least_silence, 4 * kind.target, 8 * kind.gap}) : until;
    reply = co_await exchange(line, call, kind.host, until, silence);
    reply.reused = reused;
    note_answer(clients, identity, reply);
    give_back(clients, node, line, reply);
    co_return reply;
}
}  // namespace

auto is_repeatable(Kind const& kind) -> bool { return kind.type == "idem" || (kind.type == "stream" && kind.resume); }

auto may_try_again(Kind const& kind, Reply const& reply) -> bool {
    if (reply.failure == Failure::not_connected) return true;
    if (reply.failure == Failure::none && (reply.status / 100 == 2 || holds(settled, reply.status))) return false;
    if (is_repeatable(kind)) return true;
    auto const closed = reply.failure == Failure::not_sent || reply.failure == Failure::cut;
    if (closed && reply.reused && reply.status == 0) return true;  // closed while idle: it was not read
    return reply.failure == Failure::none && holds(promises, reply.status);
}

auto Entry::choose(Random& random) const -> std::string {
    auto in = std::vector<std::string>();
    for (auto const& node : nodes)
        if (node.missed < 2) in.push_back(node.front);
    if (2 * in.size() < nodes.size()) {
        in.clear();
        for (auto const& node : nodes) in.push_back(node.front);
    }
    return in.empty() ? "" : in[static_cast<std::size_t>(random() % in.size())];
}

auto watch_node(std::shared_ptr<Entry> entry, std::size_t place, std::function<bool()> goes_on) -> awaitable<void> {
    auto call = Call();
    call.target = "/-/ready";
    while (goes_on()) {
        auto const address = entry->nodes[place].ready;
        auto const reply = co_await call_once(address, call, watch_every);
        if (reply.status == 200) entry->nodes[place].missed = 0;
        else ++entry->nodes[place].missed;
        co_await pause(watch_every);
    }
}

auto draw_request(Clients& clients) -> Requesting {
    auto& random = clients.random;
    auto total = 0.0;
    for (auto const& kind : clients.kinds) total += kind.weight;
    auto place = std::uniform_real_distribution<double>(0.0, total)(random);
    auto chosen = std::size_t{0};
    while (chosen + 1 < clients.kinds.size() && (place -= clients.kinds[chosen].weight) > 0.0) ++chosen;
    return draw_request_of(clients, clients.kinds[chosen]);
}

auto draw_request_of(Clients& clients, Kind const& kind) -> Requesting {
    auto& random = clients.random;
    auto requesting = Requesting{kind, "", "", "", 0};
    auto const& keys = kind.keys.empty() ? clients.keys : kind.keys;
    if (!keys.empty()) requesting.key = keys[static_cast<std::size_t>(random() % keys.size())];
    auto const subject =
        static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(std::max<std::int64_t>(1, kind.parts)));
    auto const shared = digest_of(kind.path), own = digest_of(kind.path + std::to_string(subject));
    requesting.parts = hex_of(shared).substr(8) + ":" + std::to_string(kind.prompt / 4) + "," + hex_of(own).substr(8) +
        ":" + std::to_string(kind.prompt / 2) + "," + hex_of(random()).substr(8) + ":" +
        std::to_string(kind.prompt / 4);
    requesting.body = std::string(static_cast<std::size_t>(kind.body), static_cast<char>('a' + random() % 26));
    return requesting;
}

auto ask(Clients& clients, Requesting requesting) -> awaitable<std::string> {
    auto const begun = now();
    auto const until = begun + requesting.kind.deadline;
    auto outcome = std::string("failed");
    for (auto attempt = 0; attempt < most_tries && now() < until; ++attempt) {
        auto const reply =
            co_await one_try(clients, requesting, clients.entry->choose(clients.random), until, attempt > 0);
        if (reply.first > 0 && attempt == 0) clients.first_pieces.push_back(reply.first - begun);
        if (reply.failure == Failure::none && reply.status / 100 == 2) co_return "served";
        if (holds(promises, reply.status)) outcome = "refused";
        else outcome = reply.status / 100 == 4 ? "denied" : "failed";
        if (!may_try_again(requesting.kind, reply)) break;
        if (requesting.kind.resume && reply.status == 200)
            for (auto const& event : read_events(reply.body)) requesting.last_event = event.number;
        co_await pause(wait_before(reply, until - now(), clients.hasty));
    }
    co_return outcome;
}

auto probe(Clients& clients, Requesting requesting, std::string node) -> awaitable<std::int64_t> {
    auto const reply = co_await one_try(clients, requesting, node, now() + requesting.kind.deadline, false);
    co_return reply.failure == Failure::none ? reply.status : 0;
}

auto send_traffic(Clients& clients) -> awaitable<void> {
    auto const executor = co_await asio::this_coro::executor;
    auto due = static_cast<double>(now());
    while (now() < clients.until && !clients.kinds.empty()) {
        due +=
            -std::log(1.0 - std::uniform_real_distribution<double>(0.0, 1.0)(clients.random)) * 1000.0 / clients.rate;
        if (auto const left = static_cast<Milliseconds>(due) - now(); left > 0) co_await pause(left);
        ++clients.open;
        auto requesting = draw_request(clients);
        auto const path = requesting.kind.path;
        auto asking = ask(clients, std::move(requesting));
        asio::co_spawn(executor, std::move(asking), [&clients, path](auto, std::string const& outcome) {
            ++clients.outcomes[outcome.empty() ? "failed" : outcome];
            ++clients.by_path[path][outcome.empty() ? "failed" : outcome];
            --clients.open;
        });
    }
}

}  // namespace dockrock::platform_stand_in
