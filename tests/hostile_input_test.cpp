// Fuzzes the product's HTTP reader with a seeded generator: valid messages, split at any byte, with lengths at and
// beyond every limit, with invalid framing. For any input the reader returns a message or an error, throws nothing, and
// holds no more than its limits allow. More seeds: DOCKROCK_HOSTILE_SEEDS=100000. docs/requests.md.
#include <catch2/catch.hpp>
#include <cstdlib>

#include "base/basics.hpp"
#include "connection/message_reader.hpp"

using namespace dockrock;

namespace {

constexpr auto seeds_in_ci = std::uint64_t{6'000};
constexpr auto head_bytes = std::uint32_t{4'096};
constexpr auto body_bytes = std::size_t{16'384};
constexpr auto buffer_most = std::size_t{256U << 10U};  // of bytes read but not parsed yet

auto seeds() -> std::uint64_t {
    auto const* const wanted = std::getenv("DOCKROCK_HOSTILE_SEEDS");
    return wanted == nullptr ? seeds_in_ci : std::strtoull(wanted, nullptr, 10);
}

template <typename Item>
auto any_of(Random& random, std::vector<Item> const& items) -> Item const& {
    return items[random.below(items.size())];
}

auto hexadecimal(std::size_t number) -> std::string {
    auto text = std::string(20, '\0');
    text.resize(static_cast<std::size_t>(std::snprintf(text.data(), text.size(), "%zx", number)));
    return text;
}

auto const odd_lengths = std::vector<std::string>{
    "0",
    "1",
    "-1",
    "+5",
    " 5",
    "5, 5",
    "5,6",
    "0x10",
    "",
    "4294967296",
    "9223372036854775807",
    "18446744073709551615",
    "18446744073709551616",
    "100000000000000000",
    "99999999999999999999999"};
auto const odd_fields = std::vector<std::string>{
    "Transfer-Encoding: chunked",
    "Transfer-Encoding: gzip, chunked",
    "Transfer-Encoding: chunked, chunked",
    "Connection: close, x, , keep-alive",
    "Connection: \x01",
    "X:",
    ": x",
    "X : x",
    "X",
    "Content-Encoding: gzip",
    "Expect: 100-continue",
    "Upgrade: h2c",
    "Host: a\tb",
    "X: folded\r\n over\r\n\tlines",
    "X: \xff\xfe"};
auto const odd_bytes =
    std::vector<std::string>{"\r", "\n", "\r\n", "\r\n\r\n", "0", ":", std::string(1, '\0'), "\xff", " "};

struct Sample {
    std::string text;
    bool sound = true;  // valid as generated; a mutation clears this
    std::string body;
};

auto chunked_body(Random& random, Sample& sample) -> std::string {
    auto text = std::string();
    for (auto count = random.below(4); count > 0; --count) {
        auto const piece = std::string(1 + random.below(2'000), static_cast<char>('a' + count));
        text +=
            hexadecimal(piece.size()) + any_of<std::string>(random, {"", "", ";a=b", ";c"}) + "\r\n" + piece + "\r\n";
        sample.body += piece;
    }
    return text +
        any_of<std::string>(random, {"0\r\n\r\n", "000\r\n\r\n", "0;x=y\r\n\r\n", "0\r\nX-Trailer: 1\r\n\r\n"});
}

auto sound_message(Random& random, bool is_request) -> Sample {
    auto sample = Sample();
    sample.text = is_request
        ? any_of<std::string>(random, {"POST /a/b?c", "GET /", "PURGE /x"}) + " HTTP/1.1\r\n"
        : any_of<std::string>(random, {"HTTP/1.1 200 OK", "HTTP/1.1 503 ", "HTTP/1.1 404 No\tway"}) + "\r\n";
    for (auto count = random.below(6); count > 0; --count)
        sample.text += "X-" + std::to_string(count) + ": " + std::string(random.below(300), 'v') + "\r\n";
    if (random.below(2) == 0) {
        sample.text += "Transfer-Encoding: chunked\r\n\r\n" + chunked_body(random, sample);
        return sample;
    }
    sample.body = std::string(random.below(3) == 0 ? 0 : random.below(8'000), 'b');
    sample.text += "Content-Length: " + std::to_string(sample.body.size()) + "\r\n\r\n" + sample.body;
    return sample;
}

// Applies one mutation that makes the message invalid.
auto spoil(Random& random, Sample& sample) -> void {
    auto& text = sample.text;
    auto const at = random.below(text.size() + 1);
    auto const head_end = std::min(text.find("\r\n") + 2, text.size());
    switch (random.below(9)) {
        case 0: text.resize(at); break;
        case 1: text.insert(at, any_of(random, odd_bytes)); break;
        case 2: text.insert(head_end, any_of(random, odd_fields) + "\r\n"); break;
        case 3: text.insert(head_end, "Content-Length: " + any_of(random, odd_lengths) + "\r\n"); break;
        case 4: text.insert(head_end, "X-Long: " + std::string(random.below(3 * head_bytes), 'l') + "\r\n"); break;
        case 5: text.erase(at, 1 + random.below(8)); break;
        case 6: text.append(std::string(random.below(3 * body_bytes), 'x')); break;
        case 7: text.insert(at, text.substr(0, random.below(text.size()))); break;
        case 8:
            for (auto& byte : text)
                if (random.below(200) == 0) byte = static_cast<char>(random.below(256));
            break;
    }
    sample.sound = false;
}

// Both ends of a connection; the bytes arrive in pieces.
struct Pair {
    asio::io_context context{1};
    tcp::acceptor door{context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
    tcp::socket speaker{context};
    std::unique_ptr<beast::tcp_stream> listener;

    Pair() {
        speaker.connect(door.local_endpoint());
        speaker.set_option(tcp::no_delay(true));
        listener = std::make_unique<beast::tcp_stream>(door.accept());
    }
};

auto say_in_pieces(tcp::socket& speaker, std::string const& text, Random& random) -> awaitable<void> {
    for (auto said = std::size_t{0}; said < text.size();) {
        auto const size = random.below(3) == 0 ? 1 + random.below(4) : 1 + random.below(text.size());
        auto const piece = asio::buffer(text.data() + said, std::min<std::size_t>(size, text.size() - said));
        auto const [failure, written] = co_await asio::async_write(speaker, piece, use_tuple);
        if (failure) break;  // the reader has closed
        said += written;
    }
    boost::system::error_code ignored;
    speaker.shutdown(tcp::socket::shutdown_send, ignored);
}

struct Outcome {
    boost::system::error_code failure;
    std::string body;
    std::size_t held = 0;  // peak size of the buffer
};

template <bool is_request>
auto read(beast::tcp_stream& stream, bool whole, Outcome& outcome) -> awaitable<void> {
    auto buffer = beast::flat_buffer();
    auto parser = MessageParser<is_request>();
    parser.limit_head(head_bytes);
    if (is_request) parser.body_limit(body_bytes);
    else parser.body_limit(boost::none);
    parser.limit_stored_body(body_bytes);
    stream.expires_after(std::chrono::seconds(5));
    outcome.failure = co_await read_head(stream, buffer, parser);
    if constexpr (!is_request)
        while (!whole && !outcome.failure && !parser.is_done()) {  // piecewise, as streams are relayed
            outcome.failure = co_await read_some(stream, buffer, parser);
            outcome.held = std::max({outcome.held, buffer.size(), parser.get().body.size()});
            outcome.body += std::exchange(parser.get().body, std::string());
        }
    if (!outcome.failure && !parser.is_done()) outcome.failure = co_await read_whole(stream, buffer, parser);
    if constexpr (is_request) outcome.body += parser.get().body();
    else outcome.body += parser.get().body;
    outcome.held = std::max(outcome.held, buffer.capacity());
    boost::system::error_code ignored;
    stream.socket().close(ignored);
}

template <bool is_request>
auto outcome_of(Sample const& sample, Random& random) -> Outcome {
    auto pair = Pair();
    auto outcome = Outcome();
    auto const whole = random.below(2) == 0;
    asio::co_spawn(pair.context, say_in_pieces(pair.speaker, sample.text, random), asio::detached);
    auto thrown = std::exception_ptr();
    asio::co_spawn(pair.context, read<is_request>(*pair.listener, whole, outcome), [&](std::exception_ptr failure) {
        thrown = failure;
    });
    pair.context.run();
    CHECK_FALSE(thrown);
    return outcome;
}

template <bool is_request>
auto play(std::uint64_t seed) -> void {
    INFO((is_request ? "request" : "answer") << " of seed " << seed);
    auto random = Random(seed);
    auto sample = sound_message(random, is_request);
    for (auto count = random.below(3); count > 0; --count) spoil(random, sample);
    auto const outcome = outcome_of<is_request>(sample, random);
    CHECK(outcome.held <= buffer_most);
    if (!sample.sound) return;
    CHECK_FALSE(outcome.failure);
    CHECK(outcome.body == sample.body);
}

}  // namespace

TEST_CASE("for any input the reader returns a message or an error, within its limits") {
    auto const faults = message_reader_faults().load();
    auto const end = seeds();
    for (auto seed = std::uint64_t{1}; seed <= end; ++seed) {
        play<true>(seed);
        play<false>(seed);
    }
    CHECK(message_reader_faults() == faults);  // no input made the library throw
}
