#include "connection/lingering_close.hpp"

#include "process/clock.hpp"

namespace dockrock {

namespace {

constexpr Microseconds linger_limit = 2 * one_second;
constexpr auto discard_buffer_bytes = std::size_t{16U << 10U};  // bytes

}  // namespace

auto close_lingering(beast::tcp_stream& stream) -> awaitable<void> {
    boost::system::error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    auto dropped = std::vector<char>(discard_buffer_bytes);
    stream.expires_after(std::chrono::microseconds(linger_limit));
    while (true) {
        auto const [failure, size] = co_await stream.async_read_some(asio::buffer(dropped), use_tuple);
        if (failure) co_return;
    }
}

}  // namespace dockrock
