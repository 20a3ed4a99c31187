// Refusals that depend on the configuration require a fresh lease proof. docs/design.md section 8.3.
#include <catch2/catch.hpp>

#include "request_wire_helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {

constexpr Microseconds old_proof = 2 * one_second;  // the time that a change may take to come into force
constexpr Microseconds young_proof = 100 * one_millisecond;

// What a node with a proof of this age answers to a request for a host that its configuration does not have.
auto answer_under(Microseconds proof_age, std::string const& host = "nobody") -> std::string {
    auto wire = Wire([](Peer&) -> awaitable<void> { co_return; });
    wire.judged(true, false);
    auto fresh = std::make_shared<Snapshot>();
    auto rules = std::make_shared<Rules>();
    rules->services = wire.rules;
    fresh->rules = rules;
    wire.node->snapshot = fresh;
    wire.node->take_limits();
    auto const now = clock_now();
    wire.node->started_at = now - 10 * one_second;
    wire.node->proven_at = now - proof_age;
    auto request = Wire::request("id-1", 4);
    request.set(http::field::host, host);
    auto done = false;
    asio::co_spawn(wire.context, wire.session->handle(request), [&](std::exception_ptr, bool) { done = true; });
    while (!done) wire.context.run_one();
    return wire.seen_by_client();
}

}  // namespace

TEST_CASE("an unknown route is refused with 404 under a fresh proof and with 503 under an old one") {
    CHECK(answer_under(young_proof).starts_with("HTTP/1.1 404 "));
    for (auto const age : {old_proof, old_proof + one_second, 3'600 * one_second}) {
        auto const answer = answer_under(age);
        CHECK(answer.starts_with("HTTP/1.1 503 "));
        CHECK(answer.find("Retry-After: ") != std::string::npos);
    }
}
