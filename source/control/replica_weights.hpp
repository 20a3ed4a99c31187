#pragma once
// The known state of the weights of a replica. docs/design.md section 11.
#include "base/json_structs.hpp"

namespace dockrock {

struct ReplicaWeights {
    std::map<std::string, std::int64_t> versions;  // by model
    bool loading = false;                          // an order is or may be in progress: no new requests go there
    auto operator==(ReplicaWeights const&) const -> bool = default;
};
using WeightsStates = std::map<std::string, ReplicaWeights>;  // by replica

inline constexpr auto first_version = std::int64_t{1};  // of a model that never got a target version

// Overrides the listed state with the state published by the leader, unless a listed
// version is higher, which shows that the published state is outdated.
inline auto apply_weights_state(ReplicaWeights& listed, ReplicaWeights const& published) -> void {
    for (auto const& [model, version] : published.versions)
        if (auto const found = listed.versions.find(model); found != listed.versions.end() && found->second > version)
            return;
    for (auto const& [model, version] : published.versions) listed.versions[model] = version;
    listed.loading = listed.loading || published.loading;
}

}  // namespace dockrock

BOOST_HANA_ADAPT_STRUCT(dockrock::ReplicaWeights, versions, loading);
