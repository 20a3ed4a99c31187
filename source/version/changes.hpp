#pragma once
// Changes under the operator's own versions: which one takes the place of the
// document in force. docs/platform.md, docs/design.md section 7.
#include "consensus/partition.hpp"
#include "version/services.hpp"

namespace dockrock {

inline constexpr auto document_limit = (std::size_t{4} << 20U) + (std::size_t{64} << 10U);
inline constexpr auto weights_call_limit = std::size_t{64} << 10U;

// One change sent again, to any node, has the same identity: the part answers
// it from its outcomes, also when newer versions have come since.
auto change_identity(std::string_view operation, std::string_view base, std::string_view body) -> std::string;

// Operations "put" (the whole document) and "patch" (named items) on a base.
auto apply_versioned(DocumentFormat const& form, Copy const& current, Call const& call) -> ChangeResult;

// The weights named for models: a JSON object from model to version.
using WeightsVersions = std::map<std::string, std::int64_t>;
auto read_weights_versions(std::string_view document) -> std::optional<WeightsVersions>;
auto write_weights_versions(WeightsVersions const& versions) -> std::string;
// Operation "weights", its body such an object: versions only rise. A lower or
// equal one, sent again or overtaken, is answered 200 and changes nothing.
auto apply_weights_version(Copy const& current, Call const& call) -> ChangeResult;

}  // namespace dockrock
