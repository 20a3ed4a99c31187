#pragma once
// The operator of the platform: changes of the configuration, races, invalid
// ones, names of new weights, and what is read back.
#include "http.hpp"
#include "record.hpp"

namespace dockrock::platform_stand_in {

struct OperatorOptions {
    std::vector<std::string> nodes;  // control addresses
    Milliseconds silence = 1000, limit = 15'000, first_pause = 50;
    double lost = 0.0;  // share of the answers that do not reach it
};
constexpr auto operator_fields =
    std::tuple(field("lost", &OperatorOptions::lost), field("limitMs", &OperatorOptions::limit));
struct Asked {          // a change to be sent
    bool whole = true;  // PUT, otherwise PATCH
    std::int64_t base = 0;
    json::object document;  // or the patch
    bool valid = true;
};
struct Operator {
    OperatorOptions options;
    Record& record;
    Random& random;
    std::set<std::string> away;  // nodes off the operator's list
    Asked newest{};              // acknowledged
};
struct Settled {
    std::int64_t status = 0;  // 0: no clear answer within the limit
    Milliseconds took = 0;
};
// Sends until there is a clear answer, unchanged, to any node.
auto send_change(Operator& caller, Asked asked) -> awaitable<Settled>;
auto name_version(Operator& caller, std::string model, std::int64_t version) -> awaitable<Settled>;
// Once through one node; its status, 0 without an answer.
auto glance(Operator& caller, std::string node) -> awaitable<std::int64_t>;
// The newest acknowledged change once more, as it was, until there is a clear answer.
auto send_again(Operator& caller) -> awaitable<Settled>;
// Until it comes; noted for the verdict where it has to come within the limit.
auto read_back(Operator& caller, Milliseconds limit, bool noted = true) -> awaitable<std::optional<json::object>>;

}  // namespace dockrock::platform_stand_in
