#pragma once
// Changes of documents that the operator versions: whether a change replaces the document in force.
// docs/platform.md, docs/design.md section 7.
#include "consensus/partition.hpp"
#include "version/services.hpp"

namespace dockrock {

inline constexpr auto document_limit = (std::size_t{4} << 20U) + (std::size_t{64} << 10U);
inline constexpr auto weights_call_limit = std::size_t{64} << 10U;

// Idempotency key of a change. A change that is sent again, to any node, has the same key: the partition answers
// it with the stored outcome, even if newer versions have been applied since.
auto change_identity(std::string_view operation, std::string_view base, std::string_view body) -> std::string;

// Applies "put" (the whole document) or "patch" (single items). The change names its base version, which must be
// the one in force; otherwise the status is 412.
auto apply_versioned(DocumentFormat const& form, Copy const& current, Call const& call) -> ChangeResult;

// Weights versions by model; a JSON object.
using WeightsVersions = std::map<std::string, std::int64_t>;
auto read_weights_versions(std::string_view document) -> std::optional<WeightsVersions>;
auto write_weights_versions(WeightsVersions const& versions) -> std::string;
// Applies "weights", whose body is such an object. Versions only rise: a lower or equal one, from a request that
// was repeated or delayed, is answered 200 and changes nothing.
auto apply_weights_version(Copy const& current, Call const& call) -> ChangeResult;

}  // namespace dockrock
