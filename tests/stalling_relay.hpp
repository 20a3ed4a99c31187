#pragma once
// A relay on the loopback between a node and those that send to it. Told to stall, it holds what stands then:
// nothing more is read or passed on there, and nothing is closed. Later connections are passed on.
#include <boost/asio.hpp>
#include <future>
#include <list>
#include <thread>

namespace dockrock::testing {

struct StallingRelay {
    using tcp = boost::asio::ip::tcp;
    struct Pair {
        tcp::socket from;
        tcp::socket to;
        std::array<char, 4096> bytes{};
        bool stalled = false;
    };
    boost::asio::io_context context{1};
    tcp::endpoint const loopback{boost::asio::ip::make_address("127.0.0.1"), 0};
    tcp::acceptor door{context, loopback};
    std::uint16_t const behind = free_port();
    std::list<Pair> pairs;
    std::thread thread;

    StallingRelay() {
        accept();
        thread = std::thread([this] { context.run(); });
    }
    StallingRelay(StallingRelay const&) = delete;
    ~StallingRelay() {
        context.stop();
        thread.join();
    }
    auto port() const -> std::uint16_t { return door.local_endpoint().port(); }
    auto target() const -> std::uint16_t { return behind; }
    auto stall() -> void {
        auto done = std::promise<void>();
        boost::asio::post(context, [&] {
            for (auto& pair : pairs) pair.stalled = true;
            done.set_value();
        });
        done.get_future().wait();
    }

   private:
    auto free_port() -> std::uint16_t { return tcp::acceptor(context, loopback).local_endpoint().port(); }
    auto accept() -> void {
        door.async_accept([this](auto failure, tcp::socket socket) {
            if (failure) return;
            auto& pair = pairs.emplace_back(Pair{std::move(socket), tcp::socket(context)});
            boost::system::error_code refused;
            pair.to.connect(tcp::endpoint(loopback.address(), behind), refused);
            if (!refused) {
                pass(pair, pair.from, pair.to);
                pass_back(pair);
            } else {
                pair.from.close(refused);
            }
            accept();
        });
    }
    // Towards the node: these connections say nothing more in the other direction than their greeting.
    auto pass(Pair& pair, tcp::socket& from, tcp::socket& to) -> void {
        from.async_read_some(boost::asio::buffer(pair.bytes), [&, this](auto failure, std::size_t size) {
            if (pair.stalled) return;
            boost::system::error_code ignored;
            if (failure) {
                to.close(ignored);
                return;
            }
            boost::asio::write(to, boost::asio::buffer(pair.bytes.data(), size), ignored);
            pass(pair, from, to);
        });
    }
    auto pass_back(Pair& pair) -> void {
        auto const bytes = std::make_shared<std::array<char, 512>>();
        pair.to.async_read_some(boost::asio::buffer(*bytes), [&, this, bytes](auto failure, std::size_t size) {
            if (pair.stalled) return;
            boost::system::error_code ignored;
            if (failure) {
                pair.from.close(ignored);
                return;
            }
            boost::asio::write(pair.from, boost::asio::buffer(bytes->data(), size), ignored);
            pass_back(pair);
        });
    }
};

}  // namespace dockrock::testing
