#include "sequence/rules.hpp"

#include <algorithm>

namespace dockrock {

namespace {

auto rules_for(MappingEntry const& mapping, Limits const& limits) -> std::vector<Rule> {
    std::vector<Rule> rules;
    if (mapping.to == "models") {
        rules.push_back({Operation::method, "POST"});
        rules.push_back({Operation::body_limit, "", limits.body_bytes});
        rules.push_back({Operation::check_key, ""});
        rules.push_back({Operation::read_inference, ""});
        rules.push_back({Operation::match_tenant, ""});
        rules.push_back({Operation::check_kind, ""});
        rules.push_back({Operation::check_model, ""});
        rules.push_back({Operation::check_sizes, "", limits.max_tokens});
        rules.push_back({Operation::enqueue, ""});
    } else {
        rules.push_back({Operation::body_limit, "", limits.body_bytes});
        rules.push_back({Operation::check_key, ""});
        rules.push_back({Operation::match_tenant, ""});
        rules.push_back({Operation::forward_application, mapping.path});
    }
    return rules;
}

}  // namespace

auto compile_rules(Sequence const& sequence, std::string_view document) -> std::shared_ptr<Rules const> {
    auto rules = std::make_shared<Rules>();
    rules->sequence = sequence;
    if (document.empty()) return rules;
    rules->checked = check_configuration(document);
    auto const& configuration = rules->checked.configuration;
    for (auto const& mapping : configuration.mappings)
        rules->mappings.push_back({mapping.path, rules_for(mapping, configuration.limits)});
    std::stable_sort(rules->mappings.begin(), rules->mappings.end(), [](auto const& left, auto const& right) {
        return left.path.size() > right.path.size();
    });
    for (auto place = std::size_t{0}; place < rules->checked.tenants.size(); ++place)
        for (auto const& key : rules->checked.tenants[place].keys) rules->tenants_by_key[key.sha256].push_back(place);
    for (auto const& kind : configuration.kinds)
        rules->deadlines[kind.name] = kind.deadline_milliseconds * one_millisecond;
    for (auto const& model : configuration.models) rules->models.insert(model.name);
    return rules;
}

}  // namespace dockrock
