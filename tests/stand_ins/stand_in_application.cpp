// stand-in-application: a small service behind the fleet; tells what it was asked.
#include "common.hpp"

auto main(int argument_count, char** arguments) -> int {
    using namespace dockrock;
    using namespace dockrock::stand_in;
    auto command = TCLAP::CmdLine("stand-in-application: plays the application service", ' ', "0.1.0");
    auto address = TCLAP::ValueArg<std::string>("", "address", "IP:port", true, "", "IP:PORT", command);
    command.parse(argument_count, arguments);
    auto context = asio::io_context(1);
    run_server(context, address.getValue(), [&](tcp::socket& socket, Request const& request) -> awaitable<bool> {
        co_return co_await reply(
            socket, request, 200,
            json::serialize(fields(
                "path", std::string(request.target()), "tenant", std::string(request["Tenant"]), "size",
                request.body().size())));
    });
    return 0;
}
