// HTTP control API of a node, for operators and the platform. docs/interfaces.md.
#include "connection/loss_tolerance.hpp"
#include "connection/message_reader.hpp"
#include "connection/node_call.hpp"
#include "connection/peers_status.hpp"
#include "connection/session.hpp"
#include "process/clock.hpp"

namespace dockrock {

namespace {

auto header(HttpRequest const& request, std::string_view name) -> std::string { return std::string(request[name]); }

auto operator_allowed(NodeSettings const& settings, HttpRequest const& request) -> bool {
    if (settings.operator_key_sha256.empty()) return true;
    auto const credentials = header(request, "Authorization");
    return credentials.starts_with("Bearer ") &&
        equal_in_constant_time(sha256_of(credentials.substr(7)), settings.operator_key_sha256);
}

auto write_member(Member const& member) -> json::object {
    constexpr auto states = std::to_array<char const*>({"alive", "suspect", "dead"});
    return fields(
        "identity", member.identity, "control_address", member.control_address, "http_address", member.http_address,
        "area", member.area, "core", member.core, "state",
        states[static_cast<std::size_t>(std::clamp(member.state, 0, 2))], "incarnation", member.incarnation);
}

auto weights_problem() -> json::object {
    Problems problems;
    problems.push_back({"/weights", "must be a text of 1 to 128 characters"});
    return fields("error", "nothing was changed", "problems", write_problems(problems));
}

auto status_of(Node& node) -> json::object {
    auto const now = clock_now();
    json::array members;
    members.push_back(write_member(node.control.membership.self));
    for (auto const& [identity, entry] : node.control.membership.known) members.push_back(write_member(entry.member));
    json::array partitions;
    for (auto index = std::size_t{0}; index < partition_count; ++index) {
        auto const number = static_cast<int>(index);
        auto const& record = node.control.best_record(number);
        partitions.push_back(fields(
            "name", json::string_view(partition_names[index].data(), partition_names[index].size()), "term",
            record.term, "leader", record.leader, "followers", write_json(record.followers), "voters",
            write_json(record.voters), "leads_here", node.control.leads(number, now), "sequence",
            etag_of(node.control.views[index].copy.sequence), "proof_age_microseconds",
            node.control.proof_age(number, now), "disk_healthy", node.control.partitions[index].healthy));
    }
    auto const current = node.snapshot.load();
    auto problems = loss_problems(node.control, now);
    auto const safe = problems.empty();
    auto const disk = name_of(node.disk_state(now));
    return fields(
        "disk", json::string_view(disk.data(), disk.size()), "invariant_violations", violations_object(),
        "one_more_loss_safe", safe, "losses_borne", node.loss_tolerance.count.load(), "losses_borne_for_microseconds",
        now - node.loss_tolerance.since.load(), "why_not", std::move(problems), "news_bytes", node.control.update_bytes,
        "news_bytes_whole", node.control.update_bytes_whole, "identity", node.control.membership.self.identity, "ready",
        node.ready(now), "resting", node.resting_now.load(), "stopping", node.stopping.load(), "configuration_in_force",
        etag_of(current->rules->sequence), "replicas_listed", current->list.replicas.size(), "list_age_microseconds",
        now - node.control.views[configuration_partition].live_at, "open_tickets", node.open_inferences.load(),
        "members", std::move(members), "peers", write_peers(node.transport, now), "partitions", std::move(partitions));
}

}  // namespace

auto Session::handle_control(HttpRequest const& request) -> awaitable<bool> {
    auto const target = std::string(request.target().substr(0, request.target().find('?')));
    auto const method = request.method();
    if (target == "/health") co_return co_await answer(request, 200, fields("alive", true));
    if (target == "/ready") {
        auto const ready = node.ready(clock_now());
        co_return co_await answer(
            request, ready ? 200 : 503,
            fields("ready", ready, "resting", node.resting_now.load(), "stopping", node.stopping.load()));
    }
    if (target == "/metrics")
        co_return co_await answer_text(request, 200, node.metrics_text(clock_now()), "text/plain; version=0.0.4");
    if (!operator_allowed(node.settings, request))
        co_return co_await answer(request, 401, fields("error", "an operator's key is needed"));
    if (target == "/control/status" && method == http::verb::get) {
        auto const executor = co_await asio::this_coro::executor;
        auto body = co_await asio::async_initiate<asio::use_awaitable_t<> const, void(std::string)>(
            [&](auto handler) {
                auto const shared = std::make_shared<decltype(handler)>(std::move(handler));
                node.in_control([this, executor, shared] {
                    asio::post(executor, [shared, text = json::serialize(status_of(node))]() mutable {
                        std::move (*shared)(std::move(text));
                    });
                });
            },
            asio::use_awaitable);
        co_return co_await answer_text(request, 200, std::move(body), "application/json");
    }
    if (target == "/control/check" && method == http::verb::post) {
        if (request.body().size() > configuration_limit)
            co_return co_await answer(request, 413, fields("error", "the configuration is larger than 1048576 bytes"));
        auto const checked = check_configuration(request.body());
        co_return co_await answer(
            request, checked.problems.empty() ? 200 : 400, fields("problems", write_problems(checked.problems)));
    }
    Call call;
    auto const weights_prefix = std::string("/control/services/");
    auto identity = header(request, "Change-Identity");
    if (identity.size() > 128)
        co_return co_await answer(request, 400, fields("error", "Change-Identity must be 128 characters at most"));
    if (target == "/control/configuration" && method == http::verb::get) {
        call = {configuration_partition, "", "get", "", ""};
    } else if (target == "/control/configuration" && method == http::verb::put) {
        if (request.body().size() > configuration_limit)
            co_return co_await answer(request, 413, fields("error", "the configuration is larger than 1048576 bytes"));
        auto const checked = check_configuration(request.body());  // an invalid document is rejected by this node
        if (!checked.problems.empty())
            co_return co_await answer(
                request, 400,
                fields(
                    "error", "the configuration has errors; nothing was changed", "problems",
                    write_problems(checked.problems)));
        call = {configuration_partition, identity, "put", header(request, "If-Match"), request.body()};
    } else if (target == "/control/configuration" && method == http::verb::patch) {
        if (header(request, "Content-Type") != "application/json-patch+json")
            co_return co_await answer(request, 415, fields("error", "a patch is application/json-patch+json"));
        if (request.body().size() > configuration_limit)
            co_return co_await answer(request, 413, fields("error", "the patch is larger than 1048576 bytes"));
        call = {configuration_partition, identity, "patch", header(request, "If-Match"), request.body()};
    } else if (target == "/control/form-anew" && method == http::verb::post) {
        auto const parsed = parse_json(request.body());
        auto const* named = parsed && parsed->is_object() ? parsed->as_object().if_contains("fleet") : nullptr;
        if (named == nullptr || !named->is_string() || std::string(named->as_string()) != node.settings.fleet)
            co_return co_await answer(request, 400, fields("error", "name the fleet: {\"fleet\": NAME}"));
        call = {configuration_partition, "", "form-anew", "", ""};
    } else if (target.starts_with("/control/changes/") && method == http::verb::get) {
        call = {configuration_partition, target.substr(17), "outcome", "", ""};
    } else if (
        target.starts_with(weights_prefix) && target.ends_with("/weights") &&
        target.size() > weights_prefix.size() + 8 && method == http::verb::put) {
        auto const service = target.substr(weights_prefix.size(), target.size() - weights_prefix.size() - 8);
        auto const parsed = parse_json(request.body());
        auto const* weights = parsed && parsed->is_object() ? parsed->as_object().if_contains("weights") : nullptr;
        if (weights == nullptr || !weights->is_string() || weights->as_string().empty() ||
            weights->as_string().size() > 128)
            co_return co_await answer(request, 400, weights_problem());
        auto const proven = node.proven_at.load();
        auto const known = node.snapshot.load()->rules->models.contains(service);
        if (!known && !node.may_refuse(proven))
            co_return co_await answer(request, 503, fields("error", "no fresh configuration here"), retry_header("1"));
        if (!known)
            co_return co_await answer(request, 404, fields("error", "no model of this name in the configuration"));
        call = {
            partition_of_service(service), identity, "weights", header(request, "If-Match"),
            json::serialize(fields(service.c_str(), *weights))};
    } else {
        auto const known = target == "/control/configuration" || target == "/control/status" ||
            target == "/control/check" || target == "/control/form-anew" || target.starts_with("/control/changes/");
        auto const* what = known ? "this path does not take that method" : "no such path";
        co_return co_await answer(request, known ? 405 : 404, fields("error", what));
    }
    if (call.operation != "get" && call.identity.empty())
        call.identity = "node-" + std::to_string(clock_now()) + "-" + std::to_string(node.next_request_number++);
    auto const asked_at = clock_now();
    auto room = MemoryReservation(node.message_memory);
    auto done = co_await node_call(node, call, room);
    if (call.operation != "get" && done.status == 200) node.latency_metrics.in_force.add(clock_now() - asked_at);
    auto headers = Headers();
    if (!done.etag.empty()) headers.emplace_back("ETag", done.etag);
    if (done.status == 503) headers.emplace_back("Retry-After", "1");
    if (call.operation != "get") headers.emplace_back("Change-Identity", call.identity);
    if (call.operation == "get" && done.status == 200 && done.body.empty()) done.body = "null";
    co_return co_await answer_text(request, done.status, std::move(done.body), "application/json", std::move(headers));
}

}  // namespace dockrock
