// Builds the heads of relayed requests and responses. docs/platform.md section 4.
#include <boost/beast/core/string.hpp>
#include <set>

#include "connection/relay_session.hpp"

namespace dockrock {

namespace {

using View = boost::beast::string_view;

constexpr auto highest_urgency = 0;
constexpr auto unknown_weights = std::string_view("unknown-");  // never equals a version: those are numbers

constexpr auto connection_fields = std::to_array<std::string_view>(
    {"connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "proxy-connection",
     "proxy-authenticate", "proxy-authorization", "content-length", "expect"});

auto same(View left, std::string_view right) -> bool { return beast::iequals(left, View(right.data(), right.size())); }

struct CaseInsensitiveLess {
    using is_transparent = void;
    auto operator()(View left, View right) const -> bool { return beast::iless()(left, right); }
};

// Hop-by-hop field names: the fixed ones, and those listed by the `Connection` fields of this head.
struct ConnectionNames {
    std::set<View, CaseInsensitiveLess> listed;

    auto add(View line) -> void {
        for (auto const& token : http::token_list(line)) listed.insert(token);
    }
    auto contains(View name) const -> bool {
        auto const fixed = std::any_of(
            connection_fields.begin(), connection_fields.end(), [&](auto field) { return same(name, field); });
        return fixed || listed.contains(name);
    }
};

auto connection_names_of(HeadFields const& fields) -> ConnectionNames {
    auto names = ConnectionNames();
    for (auto const& line : fields.lines)
        if (same(line.name, "connection")) names.add(line.value);
    return names;
}

auto add(std::string& head, std::string_view name, std::string_view value) -> void {
    if (name.empty()) return;
    head.append(name).append(": ").append(value).append("\r\n");
}

// The prefix cache salt of a request. If the replica's weights are unknown, the salt is unique to the request, so that
// its cache entries are shared with no other request.
auto salt_for(RequestLifecycle const& lifecycle, std::string_view identity) -> std::string {
    auto const& wall = lifecycle.inference.isolation_domain;
    if (!lifecycle.placement.weights.empty()) return salt_of(wall, lifecycle.placement.weights);
    if (lifecycle.inference.body.prefix.empty()) return {};
    return salt_of(wall, std::string(unknown_weights).append(identity));
}

}  // namespace

auto field_of(HttpRequest const& request, std::string const& name) -> std::string_view {
    if (name.empty()) return {};
    return request[name];
}

auto refusal_reason(int status) -> std::string {
    if (status == 421) return "weights";  // the replica has restarted, or has other weights
    return status == 400 ? "bad" : "busy";
}

auto without_body(HttpRequest const& request, int status) -> bool {
    return request.method() == http::verb::head || status == 204 || status == 304;
}

auto keeps_connection(HttpRequest const& request) -> bool { return request.keep_alive(); }

auto head_for_replica(
    WireProtocol const& protocol, HttpRequest const& request, RelayVerdict const& judged,
    RequestLifecycle const& lifecycle, std::int64_t last_event, Microseconds time_left) -> std::string {
    auto const& names = protocol.headers;
    auto const router_fields = std::to_array<std::string_view>(
        {names.key, names.tenant, names.deadline, names.replica_wanted, names.weights_wanted, names.salt, names.urgency,
         names.fetch_from, names.store_at, names.last_event});
    auto const connection_names = connection_names_of(request.fields);
    std::string head;
    head.reserve(1'024);
    head.append(request.method_string()).append(" ").append(request.target()).append(" HTTP/1.1\r\n");
    for (auto const& [name, value] : request.fields.lines) {
        auto const replaced = std::any_of(
            router_fields.begin(), router_fields.end(), [&](auto item) { return !item.empty() && same(name, item); });
        if (!replaced && !connection_names.contains(name)) add(head, name, value);
    }
    auto const& placement = lifecycle.placement;
    auto const left = std::max<Microseconds>(1, time_left / one_millisecond);
    add(head, names.deadline, std::to_string(left));
    add(head, names.replica_wanted, placement.replica);
    if (judged.tenant != nullptr) add(head, names.tenant, judged.tenant->name);
    if (!placement.weights.empty()) add(head, names.weights_wanted, placement.weights);
    if (auto const salt = salt_for(lifecycle, request[names.request_identity]); !salt.empty())
        add(head, names.salt, salt);
    auto const urgency = placement.short_prompt ? highest_urgency : urgency_of(judged.tenant, *judged.route);
    add(head, names.urgency, std::to_string(urgency));
    if (!placement.fetch.source.empty()) add(head, names.fetch_from, placement.fetch.source);
    if (!placement.fetch.save_to.empty()) add(head, names.store_at, placement.fetch.save_to);
    if (last_event >= 0) add(head, names.last_event, std::to_string(last_event));
    if (!request.body().empty() || request.has_content_length() || request.chunked())
        add(head, "Content-Length", std::to_string(request.body().size()));
    head.append("\r\n");
    return head;
}

auto head_for_client(ReceivedAnswer const& from, bool chunked, std::optional<std::uint64_t> length, bool keep)
    -> std::string {
    auto const connection_names = connection_names_of(from.fields);
    std::string head;
    head.reserve(512);
    head.append("HTTP/1.1 ").append(std::to_string(from.status)).append(" ");
    head.append(from.reason).append("\r\n");
    for (auto const& line : from.fields.lines)
        if (!connection_names.contains(line.name)) add(head, line.name, line.value);
    if (chunked) add(head, "Transfer-Encoding", "chunked");
    else if (length) add(head, "Content-Length", std::to_string(*length));
    if (!keep) add(head, "Connection", "close");
    head.append("\r\n");
    return head;
}

auto RelaySession::arrival_of(HttpRequest const& request, Microseconds now) const -> RelayedRequest {
    auto const& names = node.protocol->headers;
    auto const target = request.target();
    return {
        request.method_string(),
        target.substr(0, target.find('?')),
        request[http::field::host],
        field_of(request, names.request_identity),
        field_of(request, names.key),
        field_of(request, names.deadline),
        field_of(request, names.model),
        field_of(request, names.tokens),
        field_of(request, names.prefix),
        field_of(request, names.last_event),
        now};
}

}  // namespace dockrock
