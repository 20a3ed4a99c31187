#pragma once
// A relay on the loopback between a node and those that send to it. Whatever it passes on arrives later by a set
// delay, in order and in both directions; connections are accepted at once.
#include <boost/asio.hpp>
#include <deque>
#include <memory>
#include <thread>

namespace dockrock::testing {

struct DelayingRelay {
    using tcp = boost::asio::ip::tcp;
    using Clock = std::chrono::steady_clock;

    // One direction of one connection: what was read and is not yet due.
    struct Direction {
        struct Piece {
            Clock::time_point due;
            std::string bytes;
        };
        std::array<char, 4096> read{};
        std::deque<Piece> pieces;
        boost::asio::steady_timer timer;
    };
    struct Pair {
        tcp::socket from;
        tcp::socket to;
        Direction there;
        Direction back;
    };
    using PairPointer = std::shared_ptr<Pair>;

    boost::asio::io_context context{1};
    tcp::endpoint const loopback{boost::asio::ip::make_address("127.0.0.1"), 0};
    tcp::acceptor door{context, loopback};
    std::uint16_t const target = tcp::acceptor(context, loopback).local_endpoint().port();
    std::chrono::milliseconds const delay;
    std::thread thread;

    explicit DelayingRelay(std::chrono::milliseconds given) : delay(given) {
        accept();
        thread = std::thread([this] { context.run(); });
    }
    DelayingRelay(DelayingRelay const&) = delete;
    ~DelayingRelay() {
        context.stop();
        thread.join();
    }
    auto port() const -> std::uint16_t { return door.local_endpoint().port(); }

   private:
    auto accept() -> void {
        door.async_accept([this](auto failure, tcp::socket socket) {
            if (failure) return;
            auto const pair = std::make_shared<Pair>(Pair{
                std::move(socket),
                tcp::socket(context),
                {{}, {}, boost::asio::steady_timer(context)},
                {{}, {}, boost::asio::steady_timer(context)}});
            boost::system::error_code refused;
            pair->to.connect(tcp::endpoint(loopback.address(), target), refused);
            if (!refused) {
                take(pair, pair->there, pair->from, pair->to);
                take(pair, pair->back, pair->to, pair->from);
            }
            accept();
        });
    }
    auto take(PairPointer pair, Direction& direction, tcp::socket& from, tcp::socket& to) -> void {
        from.async_read_some(boost::asio::buffer(direction.read), [&, this, pair](auto failure, std::size_t size) {
            auto const idle = direction.pieces.empty();
            direction.pieces.push_back({Clock::now() + delay, std::string(direction.read.data(), size)});
            if (idle) pass(pair, direction, to);
            if (!failure) take(pair, direction, from, to);
        });
    }
    // The empty piece stands for the end of what was read.
    auto pass(PairPointer pair, Direction& direction, tcp::socket& to) -> void {
        direction.timer.expires_at(direction.pieces.front().due);
        direction.timer.async_wait([&, this, pair](auto) {
            boost::system::error_code ignored;
            auto const& bytes = direction.pieces.front().bytes;
            if (bytes.empty()) to.close(ignored);
            else boost::asio::write(to, boost::asio::buffer(bytes), ignored);
            direction.pieces.pop_front();
            if (!direction.pieces.empty()) pass(pair, direction, to);
        });
    }
};

}  // namespace dockrock::testing
