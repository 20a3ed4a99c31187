#include "sequence/changes.hpp"

#include "sequence/configuration.hpp"

namespace dockrock {

auto apply_configuration(Copy const&, Call const& call) -> ChangeResult {
    if (call.body.size() > configuration_limit)
        return {413, R"({"error":"the configuration is larger than 1048576 bytes"})", ""};
    auto const checked = check_configuration(call.body);
    if (checked.problems.empty()) return {200, "", call.body};
    auto const body = fields(
        "error", "the configuration has errors; nothing was changed", "problems", write_problems(checked.problems));
    return {400, json::serialize(body), ""};
}

auto apply_service(Copy const& current, Call const& call) -> ChangeResult {
    auto document = json::object{};
    if (auto const parsed = parse_json(current.document); parsed && parsed->is_object()) document = parsed->as_object();
    auto const change = parse_json(call.body);
    if (!change || !change->is_object()) return {400, R"({"error":"not a JSON object"})", ""};
    for (auto const& item : change->as_object()) document[item.key()] = item.value();
    return {200, "", json::serialize(document)};
}

}  // namespace dockrock
