// stand-in-store: an optional store of kept prefixes; empty when started.
#include <set>

#include "common.hpp"

auto main(int argument_count, char** arguments) -> int {
    using namespace dockrock;
    using namespace dockrock::stand_in;
    auto command = TCLAP::CmdLine("stand-in-store: plays the prefix store", ' ', "0.1.0");
    auto address = TCLAP::ValueArg<std::string>("", "address", "IP:port", true, "", "IP:PORT", command);
    auto rate = TCLAP::ValueArg<std::int64_t>("", "link-rate", "tokens each second", false, 100'000, "TOKENS", command);
    command.parse(argument_count, arguments);
    auto context = asio::io_context(1);
    auto kept = std::set<std::string>();
    auto link_rate = rate.getValue();
    run_server(context, address.getValue(), [&](tcp::socket& socket, Request const& request) -> awaitable<bool> {
        auto const target = std::string_view(request.target().data(), request.target().size());
        if (target == "/empty") kept.clear();
        if (target == "/slow") link_rate = 500;
        if (target == "/empty" || target == "/slow") co_return co_await reply(socket, request, 200, "{}");
        auto const name = query_value(target, "weights") + "/" + query_value(target, "chain");
        if (request.method() == http::verb::put) kept.insert(name);
        auto const good = kept.contains(name);
        if (good && request.method() == http::verb::get)
            co_await sleep_for(
                std::strtoll(query_value(target, "tokens").c_str(), nullptr, 10) * one_second / link_rate);
        co_return co_await reply(socket, request, good ? 200 : 404, "{}");
    });
    return 0;
}
