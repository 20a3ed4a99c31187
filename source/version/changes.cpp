#include "version/changes.hpp"

#include <algorithm>
#include <charconv>

#include "sequence/configuration.hpp"

namespace dockrock {

namespace {

auto refused(int status, Problems const& problems) -> ChangeResult {
    return {
        status,
        json::serialize(
            fields("error", "the change was refused; nothing was changed", "problems", write_problems(problems))),
        ""};
}

// Parses a version given by the operator: digits, quoted if it is an entity tag.
auto version_of(std::string_view text) -> std::optional<std::int64_t> {
    if (text.size() >= 2 && text.starts_with('"') && text.ends_with('"')) text = text.substr(1, text.size() - 2);
    if (text.empty() || text.front() == '-') return std::nullopt;
    auto version = std::int64_t{0};
    auto const [end, failure] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (failure != std::errc() || end != text.data() + text.size()) return std::nullopt;
    return version;
}

auto is_too_large(std::string_view text, Problems& problems) -> bool {
    if (text.size() <= document_limit) return false;
    problems.push_back({"", "larger than " + std::to_string(document_limit) + " bytes"});
    return true;
}

}  // namespace

auto change_identity(std::string_view operation, std::string_view base, std::string_view body) -> std::string {
    auto text = std::string(operation);
    text.append("\n").append(base).append("\n").append(body);
    return sha256_of(text);
}

auto apply_versioned(DocumentFormat const& form, Copy const& current, Call const& call) -> ChangeResult {
    Problems problems;
    // First of all: a body larger than a document may be is not parsed.
    if (is_too_large(call.body, problems)) return refused(413, problems);
    auto const patch = call.operation == "patch";
    if (!patch && call.operation != "put") return refused(400, {{"", "no such operation"}});
    auto text = std::optional<std::string>();
    if (patch) text = form.merge_document(current.document, call.body, problems);
    else text = call.body;
    if (!text) return refused(400, problems);
    auto wanted = form.read_document(*text, problems);
    // The result of a patch can be judged only once its base version is known to be the current one.
    if (!wanted && !patch) return refused(400, problems);
    auto const base = version_of(call.base);
    if (!base) return refused(400, {{"", "a change names the version that it builds on, 0 for the first"}});
    auto held = std::int64_t{0};
    if (!current.document.empty()) {
        Problems unread;
        auto const document = form.read_document(current.document, unread);
        if (!document) return refused(500, {{"", "the document in force can't be read"}});
        held = document->version;
    }
    if (held != *base) return refused(412, {{"", "version " + std::to_string(held) + " is in force"}});
    if (!wanted) return refused(400, problems);
    problems = check_document(*wanted);
    if (wanted->version <= held)
        problems.push_back({"/version", "must be higher than " + std::to_string(held) + ", which is in force"});
    if (!problems.empty()) return refused(400, problems);
    if (is_too_large(*text, problems)) return refused(413, problems);
    return {200, "", std::move(*text)};
}

auto read_weights_versions(std::string_view document) -> std::optional<WeightsVersions> {
    WeightsVersions versions;
    if (document.empty()) return versions;
    auto const parsed = parse_json(document);
    if (!parsed) return std::nullopt;
    Problems problems;
    read_json(*parsed, versions, "", problems);
    if (!problems.empty()) return std::nullopt;
    return versions;
}

auto write_weights_versions(WeightsVersions const& versions) -> std::string {
    return json::serialize(write_json(versions));
}

auto apply_weights_version(Copy const& current, Call const& call) -> ChangeResult {
    if (call.body.size() > weights_call_limit) return refused(413, {{"", "too large"}});
    auto const named = read_weights_versions(call.body);
    if (!named || named->empty()) return refused(400, {{"", "must be an object from model to version"}});
    auto versions = read_weights_versions(current.document);
    if (!versions) return refused(500, {{"", "the versions in force can't be read"}});
    Problems problems;
    for (auto const& [model, version] : *named) {
        if (model.empty()) problems.push_back({"/", "a model has a name"});
        if (version < 1) problems.push_back({"/" + model, "versions begin at 1"});
        auto& held = (*versions)[model];
        held = std::max(held, version);
    }
    if (!problems.empty()) return refused(400, problems);
    return {200, "", write_weights_versions(*versions)};
}

}  // namespace dockrock
