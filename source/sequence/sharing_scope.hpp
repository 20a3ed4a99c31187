#pragma once
// Scopes within which cached prompts are shared. A scope's text names its domain and the domains isolated from it:
// cache entries that a tenant created before it was isolated are never found under the scope text that is used
// afterwards. The text depends on the configuration alone, so that all nodes derive the same one, also after a
// failover or a loss of state. docs/design.md section 7.
#include <set>
#include <string>
#include <string_view>

namespace dockrock {

// The scope of a domain within which these domains are isolated; the domain's own text if there are none.
auto sharing_scope(std::string_view domain, std::set<std::string> const& isolated_domains) -> std::string;

// The scope of a tenant that shares with no other; differs from every scope of a domain.
auto isolated_scope(std::string_view tenant) -> std::string;

}  // namespace dockrock
