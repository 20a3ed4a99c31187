// Changes under the operator's own versions, and named weights.
#include "services_helpers.hpp"
#include "world_helpers.hpp"

using namespace dockrock;
using namespace dockrock::simulation;
using namespace dockrock::testing;

namespace {

auto change_of(std::string const& operation, std::string const& base, std::string const& body) -> Call {
    return {configuration_partition, change_identity(operation, base, body), operation, "", body, base};
}
auto try_change(std::string const& document, Call const& call) -> ChangeResult {
    Copy current;
    current.document = document;
    return apply_versioned(plain_form(), current, call);
}
auto try_put(std::string const& document, std::string const& base, std::string const& body) -> ChangeResult {
    return try_change(document, change_of("put", base, body));
}

}  // namespace

TEST_CASE("a change builds on the version in force and is kept as it was given") {
    auto const first = try_put("", "0", services_text(5));
    REQUIRE(first.status == 200);
    CHECK(first.document == services_text(5));
    CHECK(try_put(first.document, "5", services_text(7)).status == 200);
    CHECK(try_put(first.document, "\"5\"", services_text(7)).status == 200);
    auto const patched = try_change(first.document, change_of("patch", "5", R"({"version":6,"routes":[]})"));
    REQUIRE(patched.status == 200);
    CHECK(services_document(6).services.size() == 2);
    CHECK(patched.document.find("\"routes\":[]") != std::string::npos);
    CHECK(try_change("", change_of("patch", "0", services_text(3))).status == 200);
}

TEST_CASE("changes that are refused say why and leave nothing") {
    auto const held = services_text(5);
    auto const told = [&](Call const& call, int status, std::string const& what) {
        auto const result = try_change(held, call);
        INFO(call.operation << " on " << call.base << ": " << result.body);
        CHECK(result.status == status);
        CHECK(result.document.empty());
        CHECK(result.body.find(what) != std::string::npos);
    };
    auto const text = services_text(7);
    for (auto length = std::size_t{0}; length < text.size(); length += 7)
        told(change_of("put", "5", text.substr(0, length)), 400, "not JSON");
    told(change_of("put", "5", "[]"), 400, "must be an object");
    told(change_of("put", "5", std::string(100'000, '[')), 400, "not JSON");
    told(change_of("put", "5", replaced(text, "\"version\":7", "\"version\":99999999999999999999")), 400, "/version");
    told(change_of("patch", "5", "nonsense"), 400, "not a JSON object");
    told(change_of("sweep", "5", text), 400, "no such operation");
    for (auto const* base : {"", "five", "5x", "-5", "+5", " 5", "5 ", "*", "\"\"", "99999999999999999999", "5.0"})
        told(change_of("put", base, text), 400, "names the version that it builds on");
    for (auto const* base : {"0", "4", "6", "7"}) told(change_of("put", base, text), 412, "version 5 is in force");
    told(change_of("put", "4", services_text(3)), 412, "version 5 is in force");
    told(change_of("patch", "4", "{\"version\":\"x\"}"), 412, "version 5 is in force");
    told(change_of("patch", "5", "{\"version\":\"x\"}"), 400, "/version");
    for (auto const version : {1, 4, 5}) told(change_of("put", "5", services_text(version)), 400, "/version");
    told(change_of("put", "5", replaced(text, "\"weight\":5", "\"weight\":0")), 400, "/routes/2/split");
    told(change_of("patch", "5", R"({"version":9,"services":[]})"), 400, "/routes/0/split/0/service");
    told(change_of("put", "5", text + std::string(document_limit, ' ')), 413, "larger than");
    told(change_of("patch", "5", R"({"version":9})" + std::string(document_limit, ' ')), 413, "larger than");
    auto const half = R"({"version":9,"tenants":[{"name":")" + std::string(document_limit - 200, 'x') + R"("}]})";
    told(change_of("patch", "5", half), 413, "larger than");
    CHECK(
        try_put(text, "7", text.substr(0, text.size() - 1) + std::string(document_limit - text.size(), ' ') + "}")
            .status == 400);
    CHECK(try_put("", "0", text + std::string(document_limit - text.size(), ' ')).status == 200);
}

TEST_CASE("an identity tells operation, base and body apart") {
    auto const one = change_identity("put", "5", "body");
    CHECK(one == change_identity("put", "5", "body"));
    CHECK(one != change_identity("patch", "5", "body"));
    CHECK(one != change_identity("put", "6", "body"));
    CHECK(one != change_identity("put", "5", "Body"));
    CHECK(change_identity("put", "", "5\nbody") != change_identity("put", "5", "body"));
}

TEST_CASE("a change that is passed on keeps its base") {
    auto const sent = CallForward{4, 1, "here", change_of("patch", "5", "body")};
    auto const read = read_message(write_message(sent));
    REQUIRE(read);
    REQUIRE(std::holds_alternative<CallForward>(*read));
    auto const& call = std::get<CallForward>(*read).call;
    CHECK(call.base == "5");
    CHECK(call.body == "body");
    CHECK(call.identity == sent.call.identity);
}

TEST_CASE("two changes on one base: one prevails; repeats are answered 200, also later, lost ones never") {
    for (auto seed = std::uint64_t{1}; seed <= 10; ++seed) {
        auto world = formed(seed);
        for (auto& node : world->nodes)
            node->control.partitions[configuration_partition].apply = [](Copy const& current, Call const& call) {
                return apply_versioned(plain_form(), current, call);
            };
        auto statuses = std::vector<int>();
        auto const all = [&](std::vector<std::pair<std::size_t, Call>> const& calls) {
            statuses.assign(calls.size(), 0);
            for (auto place = std::size_t{0}; place < calls.size(); ++place)
                world->call(calls[place].first, calls[place].second, [&statuses, place](CallDone const& done) {
                    statuses[place] = done.status;
                });
            world->run_until_true([&] { return std::count(statuses.begin(), statuses.end(), 0) == 0; }, 6 * one_second);
            return statuses;
        };
        auto const first = change_of("put", "0", services_text(5));
        CHECK(all({{4, first}}) == std::vector<int>{200});
        auto const left = change_of("put", "5", services_text(7));
        auto const right = change_of("patch", "5", R"({"version":8})");
        auto const raced = all({{4, left}, {5, right}});
        auto const left_won = raced.front() == 200;
        CHECK(raced == (left_won ? std::vector<int>{200, 412} : std::vector<int>{412, 200}));
        CHECK(
            all({{6, left}, {4, right}, {5, first}}) ==
            std::vector<int>{left_won ? 200 : 412, left_won ? 412 : 200, 200});
        auto const base = std::string(left_won ? "7" : "8");
        CHECK(all({{5, change_of("put", base, services_text(12))}}) == std::vector<int>{200});
        CHECK(all({{6, change_of("patch", "12", R"({"version":13})")}}) == std::vector<int>{200});
        CHECK(
            all({{6, left}, {4, right}, {5, first}}) ==
            std::vector<int>{left_won ? 200 : 412, left_won ? 412 : 200, 200});
        world->run_until(world->now + 2 * one_second);
        for (auto const& node : world->nodes) {
            Problems problems;
            auto const held = read_plain(node->control.views[configuration_partition].copy.document, problems);
            REQUIRE(held);
            CHECK(held->version == 13);
        }
        CHECK(world->violations.empty());
    }
}

TEST_CASE("one identity with another base is another change") {
    auto world = formed(3);
    for (auto& node : world->nodes)
        node->control.partitions[configuration_partition].apply = [](Copy const& current, Call const& call) {
            return apply_versioned(plain_form(), current, call);
        };
    auto const status_of = [&](Call const& call) {
        auto status = 0;
        world->call(4, call, [&](CallDone const& done) { status = done.status; });
        world->run_until_true([&] { return status != 0; }, 6 * one_second);
        return status;
    };
    auto call = change_of("put", "0", services_text(5));
    CHECK(status_of(call) == 200);
    CHECK(status_of(call) == 200);
    call.base = "5";
    CHECK(status_of(call) == 422);
}

TEST_CASE("versions of weights only rise, and calls sent again are answered") {
    Copy current;
    auto const named = [&](std::string const& body) {
        auto const result = apply_weights_version(current, Call{0, "", "weights", "", body});
        if (result.status == 200) current.document = result.document;
        return result.status;
    };
    CHECK(named(write_weights_versions({{"large", 2}})) == 200);
    CHECK(named(write_weights_versions({{"small", 1}})) == 200);
    CHECK(current.document == R"({"large":2,"small":1})");
    CHECK(named(R"({"large":2})") == 200);
    CHECK(current.document == R"({"large":2,"small":1})");
    CHECK(named(R"({"large":1})") == 200);
    CHECK(current.document == R"({"large":2,"small":1})");
    CHECK(named(R"({"large":9})") == 200);
    CHECK(read_weights_versions(current.document) == WeightsVersions{{"large", 9}, {"small", 1}});
    for (auto const* body :
         {"", "{", "[]", "{}", "5", R"({"large":0})", R"({"large":-1})", R"({"large":"10"})", R"({"large":10.5})",
          R"({"large":99999999999999999999})", R"({"":10})"})
        CHECK(named(body) == 400);
    CHECK(named(R"({"large":10})" + std::string(weights_call_limit, ' ')) == 413);
    CHECK(read_weights_versions(current.document) == WeightsVersions{{"large", 9}, {"small", 1}});
}
