// stand-in-relay: stands between the nodes of a fleet on their control links,
// reads each frame's sender, and drops, delays or passes it by (sender,
// receiver), one way too. Not product.
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <random>
#include <thread>

#include "common.hpp"
#include "base/frame.hpp"

namespace {

using namespace dockrock;
using namespace dockrock::stand_in;

struct LinkRule {
    std::string from;  // control address, or "*"
    std::string to;
    double drop = 0.0;  // share of frames
    std::int64_t delay_milliseconds = 0;
};
struct RelayedNode {
    std::string advertised;  // where others dial
    std::string listens;     // where the node itself is
};
struct RelayPlan {
    std::vector<RelayedNode> nodes;
    std::vector<LinkRule> rules;
};

struct Relay {
    asio::io_context context{1};
    std::mutex lock;  // over the rules and the counts
    std::vector<LinkRule> rules;
    std::mt19937_64 engine{1};
    std::int64_t passed = 0, dropped = 0, delayed = 0;
    std::vector<std::thread> threads;

    auto rule_for(std::string const& from, std::string const& to) -> LinkRule {
        auto const guard = std::lock_guard(lock);
        for (auto const& rule : rules)
            if ((rule.from == "*" || rule.from == from) && (rule.to == "*" || rule.to == to)) return rule;
        return {};
    }

    auto pass(nng_socket target, std::string bytes) -> void {
        nng_send(target, bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK);
    }

    auto forward(RelayedNode const& node, nng_socket target, std::string_view bytes) -> void {
        auto const frame = unpack_frame(bytes);
        auto const rule = rule_for(frame ? frame->sender_address : std::string(), node.advertised);
        auto copy = std::string(bytes);
        auto const guard = std::lock_guard(lock);
        if (std::uniform_real_distribution<double>(0.0, 1.0)(engine) < rule.drop) {
            ++dropped;
        } else if (rule.delay_milliseconds > 0) {
            ++delayed;
            auto const timer =
                std::make_shared<asio::steady_timer>(context, std::chrono::milliseconds(rule.delay_milliseconds));
            timer->async_wait([this, timer, target, copy = std::move(copy)](auto) { pass(target, copy); });
        } else {
            ++passed;
            pass(target, std::move(copy));
        }
    }

    auto serve(RelayedNode const& node) -> bool {
        nng_socket listener{};
        nng_socket target{};
        if (nng_pull0_open(&listener) != 0 || nng_push0_open(&target) != 0) return false;
        nng_socket_set_size(listener, NNG_OPT_RECVMAXSZ, frame_limit);
        nng_socket_set_int(target, NNG_OPT_SENDBUF, 256);
        nng_socket_set_ms(target, NNG_OPT_RECONNMINT, 50);
        nng_socket_set_ms(target, NNG_OPT_RECONNMAXT, 400);
        if (nng_listen(listener, ("tcp://" + node.advertised).c_str(), nullptr, 0) != 0) return false;
        nng_dial(target, ("tcp://" + node.listens).c_str(), nullptr, NNG_FLAG_NONBLOCK);
        threads.emplace_back([this, node, listener, target] {
            while (true) {
                char* bytes = nullptr;
                auto size = std::size_t{0};
                if (nng_recv(listener, &bytes, &size, NNG_FLAG_ALLOC) != 0) return;
                forward(node, target, std::string_view(bytes, size));
                nng_free(bytes, size);
            }
        });
        return true;
    }

    auto handle(tcp::socket& socket, Request const& request) -> awaitable<bool>;
};

}  // namespace

BOOST_HANA_ADAPT_STRUCT(LinkRule, from, to, drop, delay_milliseconds);
BOOST_HANA_ADAPT_STRUCT(RelayedNode, advertised, listens);
BOOST_HANA_ADAPT_STRUCT(RelayPlan, nodes, rules);

namespace {

auto Relay::handle(tcp::socket& socket, Request const& request) -> awaitable<bool> {
    auto const parsed = parse_json(request.body());
    std::vector<LinkRule> fresh;
    Problems problems;
    if (parsed) read_json(*parsed, fresh, "", problems);
    auto body = json::object();
    {
        auto const guard = std::lock_guard(lock);
        if (request.target() == "/rules" && parsed && problems.empty()) rules = std::move(fresh);
        body = fields("passed", passed, "dropped", dropped, "delayed", delayed, "problems", write_problems(problems));
    }
    co_return co_await reply(socket, request, problems.empty() ? 200 : 400, json::serialize(body));
}

}  // namespace

auto main(int argument_count, char** arguments) -> int {
    auto command = TCLAP::CmdLine("stand-in-relay: links between nodes that can be cut and slowed", ' ', "0.1.0");
    auto address = TCLAP::ValueArg<std::string>("", "address", "IP:port for rules", true, "", "IP:PORT", command);
    auto plan_file = TCLAP::ValueArg<std::string>("", "plan", "plan (JSON)", true, "", "FILE", command);
    command.parse(argument_count, arguments);
    auto stream = std::ifstream(plan_file.getValue());
    auto const parsed =
        parse_json(std::string(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()));
    RelayPlan plan;
    Problems problems;
    if (!parsed) problems.push_back({"", "not JSON"});
    else read_json(*parsed, plan, "", problems);
    for (auto const& problem : problems) std::cerr << problem.path << ": " << problem.what << "\n";
    if (!problems.empty()) return 2;
    auto relay = std::make_unique<Relay>();
    relay->rules = plan.rules;
    for (auto const& node : plan.nodes)
        if (!relay->serve(node)) {
            std::cerr << "cannot listen on " << node.advertised << "\n";
            return 1;
        }
    run_server(relay->context, address.getValue(), [&](tcp::socket& socket, Request const& request) {
        return relay->handle(socket, request);
    });
    std::_Exit(0);
}
