#pragma once
// The product's structures read from JSON under their own names, so that its
// tests need no wire.
#include "helpers.hpp"
#include "version/changes.hpp"

BOOST_HANA_ADAPT_STRUCT(dockrock::SplitEntry, service, weight);
BOOST_HANA_ADAPT_STRUCT(
    dockrock::Route, name, host, prefix, stream, repeatable, resumable, open, tries, rank, timeout, target, pause_limit,
    split);
BOOST_HANA_ADAPT_STRUCT(
    dockrock::Service, name, health_path, connections, capacity, memory, token_bytes, link_megabits, event_calls,
    models, store_address, zone);
BOOST_HANA_ADAPT_STRUCT(dockrock::RequestLimits, header_bytes, body_bytes, header_time, idle_time);
BOOST_HANA_ADAPT_STRUCT(dockrock::ServiceTenant, name, keys, rank, ranked, isolated);
BOOST_HANA_ADAPT_STRUCT(dockrock::ServiceDocument, version, routes, services, limits, tenants, keyed);

namespace dockrock::testing {

inline auto read_plain(std::string_view text, Problems& problems) -> std::optional<ServiceDocument> {
    auto const parsed = parse_json(text);
    if (!parsed) return problems.push_back({"", "not JSON"}), std::nullopt;
    ServiceDocument document;
    read_json(*parsed, document, "", problems);
    if (!problems.empty()) return std::nullopt;
    return document;
}
// A change of named items: here the version alone, or whole top-level fields.
inline auto merge_plain(std::string_view current, std::string_view change, Problems& problems)
    -> std::optional<std::string> {
    auto whole = parse_json(current.empty() ? "{}" : current);
    auto const wanted = parse_json(change);
    if (!wanted || !wanted->is_object()) return problems.push_back({"", "not a JSON object"}), std::nullopt;
    for (auto const& item : wanted->as_object()) whole->as_object()[item.key()] = item.value();
    return json::serialize(*whole);
}
inline auto plain_form() -> DocumentFormat { return {read_plain, merge_plain}; }

inline auto services_text(std::int64_t version) -> std::string {
    return R"({"version":)" + std::to_string(version) + R"(,"keyed":true,
 "routes":[{"name":"whole","host":"One.example","prefix":"/a/","timeout":5000000,"tries":2,"rank":3,
            "split":[{"service":"north","weight":90},{"service":"south","weight":10}]},
           {"name":"inner","host":"one.example","prefix":"/a/b/","timeout":5000000,
            "split":[{"service":"south","weight":1}]},
           {"name":"other","host":"two.example","prefix":"/","timeout":5000000,
            "split":[{"service":"north","weight":0},{"service":"south","weight":5}]}],
 "services":[{"name":"north"},{"name":"south"}],
 "tenants":[{"name":"clerks","keys":["key-one","key-two"],"rank":1},
            {"name":"portal","keys":["key-three"],"ranked":false}]})";
}
inline auto services_document(std::int64_t version = 1) -> ServiceDocument {
    Problems problems;
    auto const document = read_plain(services_text(version), problems);
    REQUIRE(document);
    return *document;
}

}  // namespace dockrock::testing
