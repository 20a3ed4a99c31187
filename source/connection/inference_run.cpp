// One try: sent once, its response pieces relayed in order. docs/design.md section 10.
#include <charconv>

#include "connection/message_reader.hpp"
#include "connection/session.hpp"
#include "process/clock.hpp"

namespace dockrock {

using namespace asio::experimental::awaitable_operators;

namespace {

constexpr auto failure_body_limit = std::size_t{64U << 10U};  // bytes

auto wait_until(Microseconds limit) -> awaitable<void> {
    auto timer = asio::steady_timer(
        co_await asio::this_coro::executor, std::chrono::microseconds(std::max<Microseconds>(0, limit)));
    co_await timer.async_wait(use_tuple);
}

auto run_body(InferenceRequest const& inference, Placement const& placement) -> std::string {
    json::array chain;
    for (auto item : inference.chain) chain.push_back(json::string(chain_text(item)));
    json::array tokens;
    for (auto const& part : inference.body.prefix) tokens.push_back(part.tokens);
    return json::serialize(json::object{
        {"identity",
         inference.body.identity.empty() ? std::to_string(inference.number)
                                         : inference.tenant_path + "/" + inference.body.identity},
        {"ticket", std::to_string(inference.number)},
        {"run_once", inference.body.run_once},
        {"model", inference.body.model},
        {"kind", inference.body.kind},
        {"rank", inference.rank},
        {"weights", placement.weights},
        {"incarnation", placement.incarnation},
        {"wall", inference.isolation_domain},
        {"tenant", inference.tenant_path},
        {"chain", std::move(chain)},
        {"chain_tokens", std::move(tokens)},
        {"prompt_tokens", inference.prompt_tokens},
        {"max_tokens", inference.body.max_tokens},
        {"slots", inference.body.slots},
        {"prompt", inference.body.prompt},
        {"fetch_source", placement.fetch.source},
        {"fetch_tokens", placement.fetch.tokens},
        {"fetch_limit_microseconds", placement.fetch.limit}});
}

auto ended(TryFacts const& facts, std::string reason, bool usable = false) -> TryResult {
    TryResult result;
    result.end = retry::end_of(facts);
    result.reason = std::move(reason);
    result.usable = usable;
    return result;
}

}  // namespace

auto run_try(Session& session, RequestLifecycle const& lifecycle, bool keep_alive) -> awaitable<TryResult> {
    auto& node = session.node;
    auto const& inference = lifecycle.inference;
    auto const& placement = lifecycle.placement;
    auto const try_number = lifecycle.try_number;
    auto facts = TryFacts();
    auto const endpoint = endpoint_of(placement.address);
    if (!endpoint) co_return ended(facts, "bad-address");
    auto stream = beast::tcp_stream(co_await asio::this_coro::executor);
    stream.expires_after(std::chrono::milliseconds(500));
    if (auto const [failure] = co_await stream.async_connect(*endpoint, use_tuple); failure)
        co_return ended(facts, "unreachable");
    boost::system::error_code ignored;
    stream.socket().set_option(tcp::no_delay(true), ignored);
    facts.written = BytesWritten::none;
    if (auto const send_check = node.check_before_send(lifecycle); send_check != SendCheck::send) {
        auto result = ended(facts, "moved-on");
        result.held_back = send_check == SendCheck::moved_on;
        co_return result;
    }
    auto const posted = make_http_call(http::verb::post, "/run", run_body(inference, placement));
    auto const request = make_request(posted, placement.address);
    // From here on the replica may have received the request: after a failure it is unknown whether it ran
    // (design 10.2).
    auto const answer_limit = std::max<Microseconds>(inference.deadline - clock_now(), one_second) + 2 * one_second;
    stream.expires_after(std::chrono::microseconds(answer_limit));
    auto const [unsent, written] = co_await http::async_write(stream, request, use_tuple);
    facts.written = written == 0 ? BytesWritten::none : unsent ? BytesWritten::head : BytesWritten::whole;
    if (unsent) co_return ended(facts, "replica-broke-while-sending");
    auto buffer = beast::flat_buffer();
    auto last_head = std::optional<AnswerParser>();
    auto const no_limit = boost::none;  // the body is streamed, not stored
    if (auto const failure = co_await read_final_head(stream, buffer, last_head, no_limit); failure)
        co_return ended(facts, "replica-broke-before-first-piece");
    auto& parser = *last_head;
    facts.received = Received::cut_before_output;
    if (parser.get().status != 200) {
        parser.limit_stored_body(failure_body_limit);
        auto const failure = co_await read_whole(stream, buffer, parser);
        auto const parsed = parse_json(parser.get().body);
        auto const* ran = parsed && parsed->is_object() ? parsed->as_object().if_contains("ran") : nullptr;
        auto const* reason = parsed && parsed->is_object() ? parsed->as_object().if_contains("reason") : nullptr;
        auto const did_not_run = parser.get().status == 409 && ran != nullptr && ran->is_bool() && !ran->as_bool();
        auto const text = reason != nullptr && reason->is_string() ? std::string(reason->as_string()) : "replica-error";
        if (did_not_run && !is_malformed(failure)) facts.received = Received::not_run;
        co_return ended(facts, text);
    }
    {
        auto const number = [&](char const* name) {
            auto const text = parser.get()[std::string_view(name)];
            auto value = std::int64_t{0};
            std::from_chars(text.data(), text.data() + text.size(), value);
            return value;
        };
        auto const fetched = number("Fetched-Tokens");
        auto const took = number("Fetch-Microseconds");
        node.counters.cached_tokens += static_cast<std::uint64_t>(std::max<std::int64_t>(0, number("Kept-Tokens")));
        node.counters.prefix_tokens += static_cast<std::uint64_t>(inference.prefix_tokens);
        if (took > 0) {  // measured link speed, for the fetch planner (design 9.7)
            auto const guard = std::lock_guard(node.table.lock);
            node.table.scheduler.record_fetch(placement.fetch.source, placement.replica, fetched, took, clock_now());
            node.counters.fetched_tokens += static_cast<std::uint64_t>(fetched);
            ++node.counters.fetches;
        }
    }
    auto head_sent = false;
    auto reader = PieceReader{};
    auto const stay = keep_alive && !node.stopping && !node.resting_now;
    while (!reader.done && !reader.wrong) {
        if (parser.is_done()) break;
        auto const failure = co_await read_some(stream, buffer, parser);
        // An answer in progress is cut off only by 10 s of silence, never by its deadline.
        stream.expires_after(std::chrono::seconds(10));
        auto const whole = reader.take(parser.get().body);
        parser.get().body.clear();
        if (!whole.empty() && !reader.wrong) {
            if (!head_sent) {
                auto head = http::response<http::empty_body>(http::status::ok, 11);
                head.set(http::field::content_type, "application/x-ndjson");
                head.set("Dockrock-Replica", placement.replica);
                head.set("Dockrock-Try", std::to_string(try_number));
                head.set("Dockrock-Weights", placement.weights);
                head.set("Dockrock-Ticket", std::to_string(inference.number));
                node.latency_metrics.first_pieces.of(inference).add(clock_now() - inference.arrived_at);
                head.keep_alive(stay);
                head.chunked(true);
                auto serializer = http::response_serializer<http::empty_body>(head);
                auto const written = co_await (
                    http::async_write_header(session.socket, serializer, use_tuple) || wait_until(10 * one_second));
                if (written.index() == 1 || std::get<0>(std::get<0>(written))) {
                    facts.client = ClientState::gone;
                    co_return ended(facts, "caller-gone");
                }
                head_sent = true;
                facts.received = Received::cut_after_output;
            }
            // A caller that reads nothing for ten seconds is dropped; closing the replica's connection cancels the run.
            auto const written = co_await (
                asio::async_write(session.socket, http::make_chunk(asio::buffer(whole)), use_tuple) ||
                wait_until(10 * one_second));
            if (written.index() == 1 || std::get<0>(std::get<0>(written))) {
                facts.client = ClientState::gone;
                co_return ended(facts, "caller-gone");
            }
        }
        if (failure) break;
    }
    if (reader.done) {
        auto const [failure, size] = co_await asio::async_write(session.socket, http::make_chunk_last(), use_tuple);
        facts.received = Received::complete;
        co_return ended(facts, "", !failure && stay);
    }
    if (!head_sent) co_return ended(facts, "replica-broke-before-first-piece");
    // Mark the answer as incomplete: a final error piece and no last chunk (design 10.3).
    auto const note =
        json::serialize(fields("error", "the answer broke", "outcome", "unknown", "pieces_sent", reader.next)) + "\n";
    co_await asio::async_write(session.socket, http::make_chunk(asio::buffer(note)), use_tuple);
    co_return ended(facts, "replica-broke", false);
}

}  // namespace dockrock
