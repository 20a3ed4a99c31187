#pragma once
// What is known of the weights a replica holds. docs/design.md section 11.
#include "base/json_structs.hpp"

namespace dockrock {

struct ReplicaWeights {
    std::map<std::string, std::int64_t> versions;  // by model
    bool loading = false;                          // an order is under way, or may be: nothing new goes there
    auto operator==(ReplicaWeights const&) const -> bool = default;
};
using WeightsStates = std::map<std::string, ReplicaWeights>;  // by replica

inline constexpr auto first_version = std::int64_t{1};  // of weights that nobody has named yet

// What the list shows, overridden by the leader's word; a listed version that
// is higher than the word's shows that the word is over.
inline auto apply_weights_state(ReplicaWeights& listed, ReplicaWeights const& word) -> void {
    for (auto const& [model, version] : word.versions)
        if (auto const found = listed.versions.find(model); found != listed.versions.end() && found->second > version)
            return;
    for (auto const& [model, version] : word.versions) listed.versions[model] = version;
    listed.loading = listed.loading || word.loading;
}

}  // namespace dockrock

BOOST_HANA_ADAPT_STRUCT(dockrock::ReplicaWeights, versions, loading);
