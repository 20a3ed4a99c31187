// A transport stops in time, whatever its reader is doing. A receive that starts during the stop could block it for
// ever. docs/incidents/start-failures.md.
#include <catch2/catch.hpp>

#include <boost/asio.hpp>

#include <future>
#include <thread>

#include "transport_helpers.hpp"

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace dockrock;
using namespace dockrock::testing;

namespace {

constexpr auto rounds = 400;
constexpr auto stop_limit = std::chrono::seconds(5);
constexpr auto frames_before_stop = std::uint64_t{20};
constexpr auto stop_port = std::uint16_t{22'870};

constexpr auto greeting = std::string_view("\0SP\0\0\x50\0\0", 8);  // a sender's greeting in the library's protocol
constexpr auto frame = std::string_view("\0\0\0\0\0\0\0\x08no frame", 16);
constexpr auto frames_at_once = 64;

// Sends frames that are not in our format to the port without a pause.
struct Flood {
    std::atomic<bool> over{false};
    std::thread sender;

    explicit Flood(std::uint16_t port) {
        sender = std::thread([this, port] {
            auto frames = std::string();
            for (auto count = 0; count < frames_at_once; ++count) frames += frame;
            while (!over) send_while_taken(port, frames);
        });
    }
    auto send_while_taken(std::uint16_t port, std::string const& frames) -> void {
        boost::system::error_code failure;
        auto context = asio::io_context();
        auto socket = tcp::socket(context);
        socket.connect(tcp::endpoint(asio::ip::address_v4::loopback(), port), failure);
        if (!failure) asio::write(socket, asio::buffer(greeting), failure);
        while (!failure && !over) asio::write(socket, asio::buffer(frames), failure);
    }
    ~Flood() {
        over = true;
        sender.join();
    }
};

}  // namespace

TEST_CASE("a transport that is stopped while frames come does not wait for another one for ever", "[alone]") {
    auto const address = address_of(stop_port);
    auto flood = Flood(stop_port);
    for (auto round = 0; round < rounds; ++round) {
        auto transport = std::make_unique<Transport>();
        REQUIRE(transport->start(address, "fleet", [](Frame&&) {}).empty());
        auto const limit = std::chrono::steady_clock::now() + stop_limit;
        while (transport->malformed < frames_before_stop && std::chrono::steady_clock::now() < limit)
            std::this_thread::yield();
        CHECK(transport->malformed >= frames_before_stop);
        auto* const stopped = transport.get();
        auto ended = std::make_shared<std::promise<bool>>();
        auto end = ended->get_future();
        auto stopper = std::thread([stopped, ended] { ended->set_value(stopped->stop()); });
        auto const in_time = end.wait_for(stop_limit) == std::future_status::ready;
        if (!in_time) {  // it is blocked for ever
            stopper.detach();
            static_cast<void>(transport.release());
        }
        INFO("round " << round);
        CHECK(in_time);
        if (!in_time) break;
        stopper.join();
        if (!end.get()) break;  // the library is blocked in this close, and so are all later ones in this process
    }
}
