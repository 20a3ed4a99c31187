#include "helpers.hpp"

using namespace dockrock;
using namespace dockrock::testing;

namespace {
auto ask(
    std::string const& key, std::string const& body, std::string const& path = "/v1/generate",
    std::string const& method = "POST") -> Verdict {
    static auto const rules = compile_rules({1, 1}, tree());
    return interpret(*rules, IncomingRequest{method, path, key, body, "", 5 * one_second});
}
auto const good = std::string(
    R"({"model":"small","kind":"question","prompt":"hello","max_tokens":10,
        "prefix":[{"name":"a","tokens":100}],"tenant":"TENANT"})");
auto body_for(std::string const& tenant) -> std::string { return replaced(good, "TENANT", tenant); }
}  // namespace

TEST_CASE("each kind of invalid request is answered with its status") {
    CHECK(ask("", body_for("north")).status == 401);
    CHECK(ask("secret-9", body_for("north")).status == 401);
    CHECK(ask("secret-0", "{half").status == 400);
    CHECK(ask("secret-0", "[1]").status == 400);
    CHECK(ask("secret-0", body_for("south")).status == 403);
    CHECK(ask("secret-2", replaced(body_for("citizens"), "small", "large")).status == 403);
    CHECK(ask("secret-0", replaced(body_for("north"), "small", "medium")).status == 404);
    CHECK(ask("secret-0", replaced(body_for("north"), "question", "poem")).status == 400);
    CHECK(ask("secret-0", replaced(body_for("north"), "\"max_tokens\":10", "\"max_tokens\":100000")).status == 413);
    CHECK(ask("secret-0", replaced(body_for("north"), "hello", std::string(5'000, 'x'))).status == 413);
    CHECK(ask("secret-0", body_for("north"), "/v2/other").status == 404);
    CHECK(ask("secret-0", body_for("north"), "/v1/generate", "GET").status == 405);
    auto const several = ask("secret-0", R"({"max_tokens":0,"prefix":[{"name":"","tokens":1}],"colour":1})");
    CHECK(several.status == 400);
    CHECK(several.problems.size() == 4);
}

TEST_CASE("a valid request is queued with the settings that its tenant inherits") {
    auto const verdict = ask("secret-0", body_for("north"));
    REQUIRE(verdict.kind == Verdict::Kind::enqueue);
    CHECK(verdict.inference.tenant_path == "/root/clerks/north");
    CHECK(verdict.inference.rank == 7);
    CHECK(verdict.inference.deadline == 15 * one_second);
    CHECK(ask("secret-0", "", "/application/trains?x=1", "GET").kind == Verdict::Kind::forward);
    CHECK(ask("secret-0", "", "/application/trains?x=1", "GET").forward_path == "/trains?x=1");
}

TEST_CASE("tenants of different isolation domains never share a prefix chain") {
    auto const north = ask("secret-0", body_for("north")).inference.chain;
    auto const citizens = ask("secret-2", body_for("citizens")).inference.chain;
    CHECK(north.size() == 1);
    CHECK(north != citizens);
    CHECK(ask("secret-1", body_for("south")).inference.chain == north);  // the same group and isolation domain
}

TEST_CASE("a key that was removed from the configuration is no longer valid") {
    auto const before = compile_rules({1, 1}, tree());
    auto const after = compile_rules({1, 2}, replaced(tree(), sha256_of("secret-1"), sha256_of("another")));
    CHECK(key_is_valid(*before, sha256_of("secret-1"), "/root/clerks/south"));
    CHECK_FALSE(key_is_valid(*after, sha256_of("secret-1"), "/root/clerks/south"));
    CHECK(
        interpret(*after, IncomingRequest{"POST", "/v1/generate", "secret-1", body_for("south"), "", 0}).status == 401);
}

TEST_CASE("without a configuration no request is admitted") {
    auto const rules = compile_rules({}, "");
    CHECK(interpret(*rules, IncomingRequest{"POST", "/v1/generate", "secret-1", good, "", 0}).status == 503);
}
