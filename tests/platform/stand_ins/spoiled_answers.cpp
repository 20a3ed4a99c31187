#include "spoiled_answers.hpp"

#include <cstdio>

namespace dockrock::platform_stand_in {

namespace {
auto in_one_chunk(std::string const& body) -> std::string {
    auto size = std::array<char, 20>();
    std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
    return size.data() + body + "\r\n";
}
}  // namespace

auto spoiled_text(SpoiledAnswer const& spoiled, std::string const& lines, std::string const& body) -> std::string {
    auto const sent = spoiled.coded ? std::string(body.rbegin(), body.rend()) : body;
    auto text = "HTTP/1.1 " + std::string(spoiled.status) + " Spoiled\r\n" + lines + std::string(spoiled.fields);
    if (!spoiled.chunked) return text + "Content-Length: " + std::to_string(sent.size()) + "\r\n\r\n" + sent;
    return text + "\r\n" + in_one_chunk(sent) + (spoiled.broken ? "no size\r\n" : "0\r\n\r\n");
}

}  // namespace dockrock::platform_stand_in
