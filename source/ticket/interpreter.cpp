#include "ticket/interpreter.hpp"

namespace dockrock {

namespace {

struct Run {
    Rules const& rules;
    IncomingRequest const& arrival;
    Verdict verdict;
    std::vector<std::size_t> const* by_key = nullptr;
    Tenant const* tenant = nullptr;

    auto refuse(int status, std::string reason) -> bool {
        verdict.kind = Verdict::Kind::answer;
        verdict.status = status;
        verdict.reason = std::move(reason);
        return false;
    }

    auto check_key() -> bool {
        if (arrival.key.empty()) return refuse(401, "a key is needed: Authorization: Bearer KEY");
        if (arrival.key.size() > 512) return refuse(401, "unknown key");
        auto const hash = sha256_of(arrival.key);
        for (auto const& [known, places] : rules.tenants_by_key)
            if (equal_in_constant_time(known, hash)) by_key = &places;
        if (by_key == nullptr) return refuse(401, "unknown key");
        verdict.inference.key_hash = hash;
        return true;
    }

    auto read_inference() -> bool {
        auto const parsed = parse_json(arrival.body);
        if (!parsed) return refuse(400, "the body is not JSON");
        read_json(*parsed, verdict.inference.body, "", verdict.problems);
        auto const& body = verdict.inference.body;
        if (body.model.empty()) verdict.problems.push_back({"/model", "must be named"});
        if (body.max_tokens < 1) verdict.problems.push_back({"/max_tokens", "must be at least 1"});
        if (body.slots < 1) verdict.problems.push_back({"/slots", "must be at least 1"});
        if (body.deadline_milliseconds < 0)
            verdict.problems.push_back({"/deadline_milliseconds", "must not be negative"});
        if (body.identity.size() > 128) verdict.problems.push_back({"/identity", "must be 128 characters at most"});
        for (auto index = std::size_t{0}; index < body.prefix.size(); ++index) {
            auto const& part = body.prefix[index];
            if (part.name.empty() || part.tokens < 1 || part.tokens > 1'000'000)
                verdict.problems.push_back(
                    {"/prefix/" + std::to_string(index), "needs a name and 1 to 1000000 tokens"});
        }
        return verdict.problems.empty() || refuse(400, "the ticket has errors");
    }

    auto match_tenant() -> bool {
        auto const& named = verdict.inference.body.tenant.empty() ? arrival.tenant : verdict.inference.body.tenant;
        if (named.empty() && by_key->size() > 1) return refuse(400, "this key serves several tenants: name one");
        for (auto place : *by_key) {
            auto const& candidate = rules.checked.tenants[place];
            if (named.empty() || candidate.name == named) tenant = &candidate;
        }
        if (tenant == nullptr) return refuse(403, "this key does not serve that tenant");
        verdict.inference.tenant_path = tenant->path;
        verdict.inference.isolation_domain = tenant->isolation_domain;
        verdict.inference.rank = tenant->rank;
        verdict.inference.share = tenant->share;
        return true;
    }

    auto check_kind() -> bool {
        auto& inference = verdict.inference;
        inference.arrived_at = arrival.now;
        auto limit = 10 * one_second;
        if (!inference.body.kind.empty()) {
            auto const found = rules.deadlines.find(inference.body.kind);
            if (found == rules.deadlines.end()) return refuse(400, "unknown kind of ticket");
            limit = found->second;
        }
        if (inference.body.deadline_milliseconds > 0 && inference.body.deadline_milliseconds < limit / one_millisecond)
            limit = inference.body.deadline_milliseconds * one_millisecond;
        inference.deadline = arrival.now + limit;
        return true;
    }

    auto check_model() -> bool {
        auto const& model = verdict.inference.body.model;
        if (!rules.models.contains(model)) return refuse(404, "unknown model");
        auto const& allowed = tenant->models;
        if (!allowed.empty() && std::find(allowed.begin(), allowed.end(), model) == allowed.end())
            return refuse(403, "this tenant may not use that model");
        return true;
    }

    auto check_sizes(std::int64_t most_tokens) -> bool {
        auto& inference = verdict.inference;
        if (inference.body.max_tokens > most_tokens) return refuse(413, "max_tokens is above the limit");
        if (inference.body.prefix.size() > static_cast<std::size_t>(rules.checked.configuration.limits.prefix_parts))
            return refuse(413, "too many prefix parts");
        if (inference.body.slots > 1'024) return refuse(413, "slots is above the limit");
        inference.prompt_tokens = static_cast<std::int64_t>(inference.body.prompt.size() / 4 + 1);
        auto chain = hash_text(tenant->sharing_scope + "\n" + inference.body.model);
        for (auto const& part : inference.body.prefix) {
            chain = hash_text(part.name + "\n" + std::to_string(part.tokens), chain);
            inference.chain.push_back(chain);
            inference.prefix_tokens += part.tokens;
        }
        return true;
    }

    auto step(Rule const& rule) -> bool {
        switch (rule.operation) {
            case Operation::method: return arrival.method == rule.text || refuse(405, "this path takes " + rule.text);
            case Operation::body_limit:
                return arrival.body.size() <= static_cast<std::size_t>(rule.number) ||
                    refuse(413, "the body is above the limit");
            case Operation::read_inference: return read_inference();
            case Operation::check_key: return check_key();
            case Operation::match_tenant: return match_tenant();
            case Operation::check_kind: return check_kind();
            case Operation::check_model: return check_model();
            case Operation::check_sizes: return check_sizes(rule.number);
            case Operation::enqueue: verdict.kind = Verdict::Kind::enqueue; return false;
            case Operation::forward_application:
                verdict.kind = Verdict::Kind::forward;
                verdict.forward_path = "/" + arrival.path.substr(std::min(arrival.path.size(), rule.text.size()));
                return false;
        }
        return refuse(500, "unknown rule");
    }
};

}  // namespace

auto interpret(Rules const& rules, IncomingRequest const& arrival) -> Verdict {
    auto run = Run{rules, arrival, {}, nullptr, nullptr};
    auto const path = std::string_view(arrival.path).substr(0, arrival.path.find('?'));
    for (auto const& mapping : rules.mappings) {
        auto const matches = mapping.path.ends_with('/') ? path.starts_with(mapping.path) : path == mapping.path;
        if (!matches) continue;
        for (auto const& rule : mapping.rules)
            if (!run.step(rule)) return std::move(run.verdict);
        break;
    }
    run.refuse(
        rules.mappings.empty() ? 503 : 404,
        rules.mappings.empty() ? "no configuration is in force yet" : "no mapping for this path");
    return std::move(run.verdict);
}

auto key_is_valid(Rules const& rules, std::string const& key_hash, std::string const& tenant_path) -> bool {
    auto const found = rules.tenants_by_key.find(key_hash);
    if (found == rules.tenants_by_key.end()) return false;
    return std::any_of(found->second.begin(), found->second.end(), [&](auto place) {
        return rules.checked.tenants[place].path == tenant_path;
    });
}

}  // namespace dockrock
