// stand-in-platform: keeps the list of replicas and marks those that leave,
// as late as it is told to. Not product.
#include <deque>

#include "common.hpp"

namespace {

using namespace dockrock;
using namespace dockrock::stand_in;

struct Platform {
    asio::io_context context{1};
    Recorder record;
    json::object list;
    std::deque<std::pair<Microseconds, std::string>> told;  // what was listed from when
    Microseconds lag = 0;
    std::int64_t sequence = 1;
    bool broken = false;

    auto changed() -> void {
        list["sequence"] = sequence++;
        told.emplace_back(clock_now(), json::serialize(list));
        if (told.size() > 500) told.pop_front();
    }
    auto current() const -> std::string {
        auto text = told.front().second;
        for (auto const& [since, item] : told)
            if (clock_now() - since >= lag) text = item;
        return text;
    }
    auto handle(tcp::socket& socket, Request const& request) -> awaitable<bool> {
        auto const target = std::string(request.target());
        if (target == "/replicas" && request.method() == http::verb::get) {
            auto text = current();
            if (broken) text = "half a list {";
            co_return co_await reply(socket, request, broken ? 500 : 200, text);
        }
        auto const body = read_object(request.body());
        if (target == "/replicas") {
            list = body;
        } else if (target == "/drain") {
            for (auto& entry : list["replicas"].as_array())
                if (text_of(entry.as_object(), "name") == text_of(body, "name"))
                    entry.as_object()["drain"] = body.at("drain");
            record.write(fields("event", "drain", "name", text_of(body, "name"), "drain", body.at("drain").as_bool()));
        } else if (target == "/broken") {
            broken = body.at("broken").as_bool();
        } else {
            co_return co_await reply(socket, request, 404, "{}");
        }
        changed();
        co_return co_await reply(socket, request, 200, "{}");
    }
};

}  // namespace

auto main(int argument_count, char** arguments) -> int {
    auto command = TCLAP::CmdLine("stand-in-platform: plays the platform's replica list", ' ', "0.1.0");
    auto address = TCLAP::ValueArg<std::string>("", "address", "IP:port", true, "", "IP:PORT", command);
    auto list = TCLAP::ValueArg<std::string>("", "list", "file with the first list", true, "", "FILE", command);
    auto lag = TCLAP::ValueArg<std::int64_t>(
        "", "lag-milliseconds", "how late the list is", false, 0, "MILLISECONDS", command);
    auto record = TCLAP::ValueArg<std::string>("", "record", "record file", false, "", "FILE", command);
    command.parse(argument_count, arguments);
    auto platform = std::make_unique<Platform>();
    auto stream = std::ifstream(list.getValue());
    platform->list = read_object(std::string(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()));
    platform->lag = lag.getValue() * one_millisecond;
    platform->record.open(record.getValue());
    platform->changed();
    run_server(platform->context, address.getValue(), [&](tcp::socket& socket, Request const& request) {
        return platform->handle(socket, request);
    });
    return 0;
}
