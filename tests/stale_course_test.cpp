// A request that is judged again is refused under a young proof alone. docs/design.md section 8.3.
#include <catch2/catch.hpp>

#include "ticket/request_lifecycle.hpp"

using namespace dockrock;

namespace {
constexpr Microseconds old_proof = 2 * one_second;  // as old as a change may be without being in force
constexpr Microseconds young_proof = 100 * one_millisecond;
}  // namespace

TEST_CASE("rules that moved refuse as they say under a young proof and with 503 under an old one") {
    for (auto const status : {401, 403, 404}) {
        auto lifecycle = RequestLifecycle();
        auto verdict = Verdict();
        verdict.kind = Verdict::Kind::answer;
        verdict.status = status;
        auto facts = LifecycleFacts();
        facts.proof_limit = 5 * one_second;
        facts.proof_age = young_proof;
        auto const young = lifecycle.reinterpreted(verdict, {1, 1}, facts);
        CHECK(young.step == Step::answer_refused);
        CHECK(young.status == status);
        facts.proof_age = old_proof;
        auto const old = lifecycle.reinterpreted(verdict, {1, 1}, facts);
        CHECK((old.step == Step::answer_shed || old.step == Step::answer_refused));
        CHECK(old.status == 503);
    }
}
