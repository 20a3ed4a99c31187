#pragma once
// A small HTTP server and record file shared by the stand-ins. Not product.
#include <tclap/CmdLine.h>

#include <csignal>
#include <fstream>
#include <functional>
#include <iostream>
#include <mutex>

#include "connection/http_client.hpp"
#include "process/clock.hpp"
#include "base/json_structs.hpp"

namespace dockrock::stand_in {

using Request = http::request<http::string_body>;

struct Recorder {  // JSON lines, one for each thing that happened, with its time
    std::ofstream file;
    std::mutex lock;
    auto open(std::string const& path) -> void {
        if (!path.empty()) file.open(path, std::ios::app);
    }
    auto write(json::object line) -> void {
        line["at"] = clock_now();
        auto const guard = std::lock_guard(lock);
        if (file.is_open()) file << json::serialize(line) << std::endl;
    }
};

inline auto sleep_for(Microseconds length) -> awaitable<void> {
    auto timer = asio::steady_timer(co_await asio::this_coro::executor, std::chrono::microseconds(length));
    co_await timer.async_wait(use_tuple);
}

inline auto reply(tcp::socket& socket, Request const& request, int status, std::string body) -> awaitable<bool> {
    auto response = http::response<http::string_body>(static_cast<http::status>(status), 11);
    response.set(http::field::content_type, "application/json");
    response.keep_alive(request.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    auto const [failure, size] = co_await http::async_write(socket, response, use_tuple);
    co_return !failure && request.keep_alive();
}

using Handler = std::function<awaitable<bool>(tcp::socket&, Request const&)>;

inline auto serve_one(tcp::socket socket, Handler const& handler) -> awaitable<void> {
    auto buffer = beast::flat_buffer();
    socket.set_option(tcp::no_delay(true));
    while (true) {
        auto parser = http::request_parser<http::string_body>();
        parser.body_limit(32U << 20U);
        if (auto const [failure, size] = co_await http::async_read(socket, buffer, parser, use_tuple); failure)
            co_return;
        auto const request = parser.release();
        if (!co_await handler(socket, request)) co_return;
    }
}

inline auto accept_all(std::string address, Handler handler) -> awaitable<void> {
    auto acceptor = tcp::acceptor(co_await asio::this_coro::executor, *endpoint_of(address), true);
    while (true) {
        auto [failure, socket] = co_await acceptor.async_accept(use_tuple);
        if (failure) continue;
        auto const executor = socket.get_executor();
        asio::co_spawn(executor, serve_one(std::move(socket), handler), asio::detached);
    }
}

// One thread: a stand-in's state needs no locks.
inline auto run_server(asio::io_context& context, std::string const& address, Handler handler) -> void {
    std::signal(SIGPIPE, SIG_IGN);
    auto signals = asio::signal_set(context, SIGTERM, SIGINT);
    signals.async_wait([&](auto, int) { context.stop(); });
    asio::co_spawn(context, accept_all(address, std::move(handler)), [](std::exception_ptr failure) {
        if (!failure) return;
        std::cerr << "cannot listen\n";
        std::_Exit(1);
    });
    context.run();
}

inline auto query_value(std::string_view target, std::string const& name) -> std::string {
    auto place = target.find('?');
    while (place != std::string_view::npos) {
        auto const rest = target.substr(place + 1);
        auto const end = rest.find('&');
        auto const item = rest.substr(0, end);
        if (item.starts_with(name + "=")) return std::string(item.substr(name.size() + 1));
        place = end == std::string_view::npos ? end : place + 1 + end;
    }
    return "";
}

inline auto text_of(json::object const& object, char const* name) -> std::string {
    auto const* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}
inline auto number_of(json::object const& object, char const* name) -> std::int64_t {
    auto const* value = object.if_contains(name);
    return value != nullptr && value->is_number() ? value->to_number<std::int64_t>() : 0;
}
inline auto read_object(std::string const& text) -> json::object {
    auto const parsed = parse_json(text);
    return parsed && parsed->is_object() ? parsed->as_object() : json::object{};
}

}  // namespace dockrock::stand_in
