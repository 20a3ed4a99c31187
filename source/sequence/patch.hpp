#pragma once
// JSON Patch (RFC 6902) for the configuration, by means of a library. docs/design.md section 7.2.
#include "base/json_structs.hpp"

namespace dockrock {

inline constexpr auto max_patch_operations = std::size_t{256};

struct Patched {
    int status = 0;   // 200; 400: bad patch; 412: a "test" operation failed; 413: too large
    Problem problem;  // its path is the index of the failed operation in the patch
    std::string document;
};
// Applies all operations or none.
auto apply_patch(std::string const& document, std::string const& patch) -> Patched;

}  // namespace dockrock
