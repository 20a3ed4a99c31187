#include "ticket/piece_reader.hpp"

#include "base/json_structs.hpp"

namespace dockrock {

auto PieceReader::take(std::string_view bytes) -> std::string {
    auto const searched = rest.size();  // the rest of earlier bytes has no line end
    rest.append(bytes);
    std::string whole;
    auto begin = std::size_t{0};
    for (auto end = rest.find('\n', searched); end != std::string::npos && !wrong && !done;
         end = rest.find('\n', begin)) {
        auto const line = rest.substr(begin, end + 1 - begin);
        begin = end + 1;
        auto const parsed = parse_json(line);
        auto const* object = parsed && parsed->is_object() ? &parsed->as_object() : nullptr;
        auto const* piece = object != nullptr ? object->if_contains("piece") : nullptr;
        auto const* count = object != nullptr ? object->if_contains("pieces") : nullptr;
        auto const* number = piece != nullptr ? piece : count;
        if (number == nullptr || !number->is_int64() || number->as_int64() < 0 ||
            static_cast<std::uint64_t>(number->as_int64()) != next) {
            wrong = true;
            break;
        }
        if (piece != nullptr) ++next;
        else done = true;
        whole += line;
    }
    rest.erase(0, begin);
    if (rest.size() > line_limit) wrong = true;
    return whole;
}

}  // namespace dockrock
