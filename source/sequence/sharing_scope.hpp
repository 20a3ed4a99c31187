#pragma once
// Within which scope kept prompts are shared. A scope's text names its domain and who is walled off from it: a part
// that a tenant made while it was inside is never found under the text of a time when it is not. It follows from the
// configuration alone, so that every node, after any take-over or loss, has the same. docs/design.md section 7.
#include <set>
#include <string>
#include <string_view>

namespace dockrock {

// The scope of a domain from which these domains within it are walled off; the domain's own text where there are none.
auto sharing_scope(std::string_view domain, std::set<std::string> const& isolated_domains) -> std::string;

// The scope of a tenant that shares with nobody. No scope of a domain has the same text.
auto isolated_scope(std::string_view tenant) -> std::string;

}  // namespace dockrock
