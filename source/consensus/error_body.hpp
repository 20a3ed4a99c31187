#pragma once
// The JSON body of an error response. docs/interfaces.md.
#include "base/json_structs.hpp"

namespace dockrock {

inline auto error_body(std::string_view what) -> std::string {
    return json::serialize(json::object{{"error", json::string_view(what.data(), what.size())}});
}

}  // namespace dockrock
