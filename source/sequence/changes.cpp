#include "sequence/changes.hpp"

#include "sequence/configuration.hpp"
#include "sequence/patch.hpp"

namespace dockrock {

namespace {

auto problems_body(Problems const& problems) -> std::string {
    return json::serialize(
        fields("error", "the change has errors; nothing was changed", "problems", write_problems(problems)));
}

}  // namespace

auto apply_configuration(Copy const& current, Call const& call) -> ChangeResult {
    if (call.operation == "patch") {
        auto patched = apply_patch(current.document, call.body);
        if (patched.status != 200) return {patched.status, problems_body({patched.problem}), ""};
        auto whole = call;
        whole.operation = "put";
        whole.body = std::move(patched.document);
        return apply_configuration(current, whole);
    }
    if (call.body.size() > configuration_limit)
        return {413, R"({"error":"the configuration is larger than 1048576 bytes"})", ""};
    auto const checked = check_configuration(call.body);
    if (checked.problems.empty()) return {200, "", call.body};
    return {400, problems_body(checked.problems), ""};
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
