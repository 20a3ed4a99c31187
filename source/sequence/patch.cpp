#include "sequence/patch.hpp"

#include <nlohmann/json.hpp>

#include "sequence/configuration.hpp"

namespace dockrock {

namespace {

using Tree = nlohmann::ordered_json;

auto failed(int status, std::size_t place, std::string what) -> Patched {
    return {status, {"/" + std::to_string(place), std::move(what)}, ""};
}

// Bytes that a "copy" operation adds. Counted so that repeated copies of copies are refused at the size limit
// before they exhaust the memory.
auto copied_size(Tree const& tree, Tree const& operation) -> std::size_t {
    if (operation.value("op", "") != "copy" || !operation.contains("from")) return 0;
    auto const from = Tree::json_pointer(operation.at("from").get<std::string>());
    return tree.contains(from) ? tree.at(from).dump().size() : 0;
}

// The library reports errors as exceptions; they are turned into results here and nowhere else.
auto apply_one(Tree& tree, Tree const& operation, std::size_t place, std::size_t& size) -> Patched {
    constexpr auto test_failed = 501;
    try {
        size += copied_size(tree, operation);
        if (size > configuration_limit) return failed(413, place, "the patched configuration is too large");
        tree = tree.patch(Tree::array({operation}));
    } catch (Tree::exception const& problem) {
        if (problem.id == test_failed) return failed(412, place, "the test failed; nothing was changed");
        return failed(400, place, problem.what());
    }
    return {200, {}, ""};
}

}  // namespace

auto apply_patch(std::string const& document, std::string const& patch) -> Patched {
    auto const shape = parse_json(patch);
    if (!shape || !shape->is_array()) return {400, {"", "not a JSON Patch: a list of operations"}, ""};
    if (shape->as_array().size() > max_patch_operations) return {413, {"", "more than 256 operations"}, ""};
    auto tree = Tree::parse(document.empty() ? "null" : document, nullptr, false);
    auto const operations = Tree::parse(patch, nullptr, false);
    if (tree.is_discarded() || operations.is_discarded()) return {400, {"", "not JSON"}, ""};
    auto size = document.size();
    for (auto place = std::size_t{0}; place < operations.size(); ++place) {
        if (!operations[place].is_object()) return failed(400, place, "an operation must be an object");
        if (auto result = apply_one(tree, operations[place], place, size); result.status != 200) return result;
    }
    return {200, {}, tree.dump()};
}

}  // namespace dockrock
