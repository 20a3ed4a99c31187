// Refusals of the product's own API depending on the age of the lease proof, and the order in which proof and snapshot
// are read. docs/design.md sections 8.2.2 and 8.3.
#include "connection/session.hpp"
#include "helpers.hpp"
#include "process/clock.hpp"
#include "process/log.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

constexpr Microseconds old_proof = 2 * one_second;
constexpr Microseconds young_proof = 100 * one_millisecond;

auto request_of(http::verb method, std::string const& target, std::string body, std::string const& key) -> HttpRequest {
    auto request = HttpRequest(method, target, 11);
    request.set(http::field::authorization, "Bearer " + key);
    request.body() = std::move(body);
    return request;
}

// What a node with a proof of this age answers to a caller.
auto answer_under(Microseconds proof_age, HttpRequest const& request) -> std::string {
    auto context = asio::io_context(1);
    auto door = tcp::acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    auto caller = tcp::socket(context);
    caller.connect(door.local_endpoint());
    auto const node = std::make_unique<Node>();
    node->interpreter_queues = std::vector<WorkQueue>(1);
    node->interpreter_queues.front().start();
    auto fresh = std::make_shared<Snapshot>();
    fresh->rules = compile_rules({1, 1}, tree());
    node->snapshot = fresh;
    node->started_at = clock_now() - 10 * one_second;
    node->proven_at = clock_now() - proof_age;
    auto session = Session{*node, door.accept(), {}, 0};
    auto done = false;
    auto const own = request.target().starts_with("/control/");
    asio::co_spawn(
        context, own ? session.handle_control(request) : session.handle_inference(request),
        [&](std::exception_ptr, bool) { done = true; });
    while (!done) context.run_one();
    auto bytes = std::array<char, 4096>();
    return {bytes.data(), caller.read_some(asio::buffer(bytes))};
}

auto expect_refusal(HttpRequest const& request, std::string const& status) -> void {
    CHECK(answer_under(young_proof, request).starts_with("HTTP/1.1 " + status + " "));
    for (auto const age : {old_proof, old_proof + one_second, 3'600 * one_second}) {
        auto const answer = answer_under(age, request);
        CHECK(answer.starts_with("HTTP/1.1 503 "));
        CHECK(answer.find("Retry-After: ") != std::string::npos);
    }
}

}  // namespace

TEST_CASE("inference requests are refused only under a fresh proof") {
    auto const body =
        std::string(R"({"model":"small","kind":"question","prompt":"hello","max_tokens":10,)") + R"("tenant":"north"})";
    expect_refusal(request_of(http::verb::post, "/v1/generate", body, "no-key"), "401");
    expect_refusal(request_of(http::verb::post, "/v1/generate", replaced(body, "north", "south"), "secret-0"), "403");
    expect_refusal(request_of(http::verb::post, "/v1/generate", replaced(body, "small", "tiny"), "secret-0"), "404");
}

TEST_CASE("a weights change for an unknown service is refused only under a fresh proof") {
    auto const target = std::string("/control/services/nothing/weights");
    expect_refusal(request_of(http::verb::put, target, R"({"weights":"w2"})", ""), "404");
}

TEST_CASE("reading the proof before the snapshot never gives a snapshot older than the proof") {
    constexpr auto changes = std::uint64_t{400};
    auto const node = std::make_unique<Node>();
    auto fresh = std::make_shared<Snapshot>();
    fresh->rules = compile_rules({1, 1}, tree());
    node->snapshot = fresh;
    auto finished = std::atomic<bool>{false};
    auto looks = std::atomic<std::uint64_t>{0};
    auto early = std::uint64_t{0};
    auto reader = std::thread([&] {
        while (!finished) {
            auto const proven = node->proven_at.load();
            auto const held = node->snapshot.load()->rules->sequence.number;
            if (static_cast<std::uint64_t>(proven) > held) ++early;
            ++looks;
        }
    });
    set_log_level(Level::warning);
    auto& view = node->control.views[configuration_partition];
    view.copy.document = tree();
    for (auto number = std::uint64_t{2}; number < 2 + changes; ++number) {
        auto const looked = looks.load();
        while (looks == looked) std::this_thread::yield();  // waits until the reader has read again
        view.copy.sequence = {1, number};
        view.proven_at = static_cast<Microseconds>(number);
        node->publish_snapshot();
    }
    finished = true;
    reader.join();
    set_log_level(Level::information);
    CHECK(early == 0);
    CHECK(node->proven_at == static_cast<Microseconds>(1 + changes));
    CHECK(node->snapshot.load()->rules->sequence.number == 1 + changes);
}
