// platform-stand-in CONTROL LIST [REPLICAS]: plays the users' platform for
// tests. CONTROL and LIST are IP:PORT; REPLICAS is a JSON file with the first
// replicas ({"replicas": [...]}). Steered by POST to CONTROL. Not product.
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

#include "platform.hpp"

using namespace dockrock::platform_stand_in;

namespace {
auto start_from(Platform& platform, std::string const& path) -> bool {
    auto stream = std::ifstream(path);
    auto const text = std::string(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
    auto const first = read_object(text);
    if (!first) return false;
    for (auto const& item : list_of(*first, "replicas"))
        if (!item.is_object() || !add_replica(platform, item.as_object())) return false;
    return true;
}
}  // namespace

auto main(int argument_count, char** arguments) -> int {
    if (argument_count < 3) {
        std::cerr << "platform-stand-in CONTROL LIST [REPLICAS]\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    auto context = asio::io_context(1);
    auto platform = Platform{context, Random(std::random_device()())};
    auto signals = asio::signal_set(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, int) { context.stop(); });
    auto const on_control = [&platform](Request request) -> awaitable<Answered> {
        auto call = read_object(request.body());
        if (!call) co_return Answered{400, {}};
        co_return co_await control(platform, std::move(*call));
    };
    auto const on_list = [&platform](Request request) -> awaitable<Answered> {
        if (!request.target().starts_with("/replicas")) co_return Answered{404, {}};
        co_return platform.list.answer(std::string(request.target()), now());
    };
    if (serve_json(context, arguments[1], on_control).empty() || serve_json(context, arguments[2], on_list).empty()) {
        std::cerr << "cannot listen\n";
        return 1;
    }
    if (argument_count > 3 && !start_from(platform, arguments[3])) {
        std::cerr << "cannot start the replicas of " << arguments[3] << "\n";
        return 1;
    }
    context.run();
    return 0;
}
