#include "control/snapshot.hpp"

namespace dockrock {

namespace {

auto read_object(std::string const& text) -> json::object {
    auto const parsed = parse_json(text);
    return parsed && parsed->is_object() ? parsed->as_object() : json::object{};
}

auto read_list(std::string const& text, ReplicaList& into) -> void {
    auto const parsed = text.empty() ? std::nullopt : parse_json(text);
    if (!parsed) return;
    ReplicaList list;
    Problems problems;
    read_json(*parsed, list, "", problems);
    if (problems.empty()) into = std::move(list);  // an invalid list leaves the old one in place
}

// Under a relaying protocol the document is a list of services.
auto compile_relayed(Copy const& copy, DocumentFormat const& form) -> std::shared_ptr<Rules const> {
    auto rules = std::make_shared<Rules>();
    rules->sequence = copy.sequence;
    Problems problems;
    if (copy.document.empty()) return rules;
    if (auto document = form.read_document(copy.document, problems))
        rules->services = compile_services(std::move(*document));
    return rules;
}

// Only versions up to the target in this node's document: a higher one can't be ordered, so it makes no
// replica overdue. One that other nodes report may have been lost with the disks that held it.
auto times_up_to_target(VersionHistory const& version_history, std::map<std::string, std::int64_t> const& targets)
    -> std::map<std::string, VersionTimes> {
    std::map<std::string, VersionTimes> times;
    for (auto const& [model, versions] : version_history.by_model)
        if (auto const target = targets.find(model); target != targets.end())
            times[model] = versions.up_to(target->second);
    return times;
}

auto apply_published_states(Snapshot& fresh, std::string const& text) -> void {
    for (auto const& [replica, state] : read_weights_states(text))
        if (auto const found = fresh.replica_weights.find(replica); found != fresh.replica_weights.end())
            apply_weights_state(found->second, state);
}

}  // namespace

auto read_weights_states(std::string const& text) -> WeightsStates {
    auto const parsed = text.empty() ? std::nullopt : parse_json(text);
    if (!parsed) return {};
    WeightsStates states;
    Problems problems;
    read_json(*parsed, states, "", problems);
    return problems.empty() ? states : WeightsStates();
}

auto make_snapshot(Control const& control, Snapshot const& old, DocumentFormat const* form)
    -> std::shared_ptr<Snapshot> {
    auto fresh = std::make_shared<Snapshot>();
    auto const& configuration = control.views[configuration_partition];
    fresh->document_bytes = configuration.copy.document.size();
    fresh->rules = old.rules && old.rules->sequence == configuration.copy.sequence ? old.rules
        : form == nullptr ? compile_rules(configuration.copy.sequence, configuration.copy.document)
                          : compile_relayed(configuration.copy, *form);
    if (old.rules && !invariants::check(invariants::InForceFacts{old.rules->sequence, fresh->rules->sequence}))
        fresh->rules = old.rules;
    fresh->list = old.list;
    read_list(configuration.live, fresh->list);
    for (auto const& model : fresh->rules->checked.configuration.models)
        fresh->target_weights[model.name] = model.weights;
    for (auto partition = std::size_t{1}; partition <= service_partitions; ++partition)
        for (auto const& item : read_object(control.views[partition].copy.document)) {
            if (item.value().is_string()) fresh->target_weights[item.key()] = std::string(item.value().as_string());
            if (item.value().is_int64()) fresh->target_versions[item.key()] = item.value().as_int64();
        }
    fresh->version_times = times_up_to_target(control.version_history, fresh->target_versions);
    for (auto const& entry : fresh->list.replicas) fresh->replica_weights[entry.name].versions = entry.weights;
    for (auto partition = std::size_t{1}; partition <= service_partitions; ++partition)
        apply_published_states(*fresh, control.views[partition].live);
    auto const resting = read_object(control.views[resting_partition].copy.document);
    if (auto const* names = resting.if_contains("resting"); names != nullptr && names->is_array())
        for (auto const& name : names->as_array())
            if (name.is_string()) fresh->resting.insert(std::string(name.as_string()));
    return fresh;
}

}  // namespace dockrock
