#include "sequence/sharing_scope.hpp"

#include "sequence/configuration.hpp"

namespace dockrock {

namespace {

constexpr auto mark_digits = std::size_t{32};  // hexadecimal: 128 bits

}  // namespace

auto sharing_scope(std::string_view domain, std::set<std::string> const& isolated_domains) -> std::string {
    auto scope = std::string(domain);
    if (isolated_domains.empty()) return scope;
    auto listed = std::string();
    for (auto const& name : isolated_domains)
        listed += std::to_string(name.size()) + ":" + name;  // lengths make it unambiguous
    return scope + "~" + sha256_of(listed).substr(0, mark_digits);
}

auto isolated_scope(std::string_view tenant) -> std::string { return "tenant:" + std::string(tenant); }

}  // namespace dockrock
