#pragma once
// JSON Patch (RFC 6902) over the configuration, by a library. docs/design.md section 7.2.
#include "base/json_structs.hpp"

namespace dockrock {

inline constexpr auto most_patch_operations = std::size_t{256};

struct Patched {
    int status = 0;   // 200, 400 bad patch, 412 a test failed, 413 too large
    Problem problem;  // the path of the operation within the patch
    std::string document;
};
auto apply_patch(std::string const& document, std::string const& patch) -> Patched;

}  // namespace dockrock
