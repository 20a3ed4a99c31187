#include "process/storage_format.hpp"

#include "base/frame.hpp"

namespace dockrock {

namespace {

// Field names of the two former formats on disk, with their present names.
struct RenamedField {
    std::string_view former;
    std::string_view now;
};
constexpr auto renamed_fields = std::to_array<RenamedField>(
    {{"parts", "partitions"},
     {"part", "partition"},
     {"epoch", "term"},
     {"primary", "leader"},
     {"understudies", "followers"}});

auto rename_fields(json::object& object) -> void {
    for (auto const& [former, now] : renamed_fields) {
        auto* value = object.if_contains(former);
        if (value == nullptr || object.contains(now)) continue;
        auto moved = std::move(*value);
        object.erase(former);
        object[now] = std::move(moved);
    }
}

// The first format had a single follower.
auto list_single_follower(json::object& record) -> void {
    auto const* single = record.if_contains("understudy");
    if (single == nullptr || !single->is_string()) return;
    json::array list;
    if (!single->as_string().empty() && *single != record["leader"]) list.push_back(*single);
    record["followers"] = std::move(list);
    record.erase("understudy");
}

}  // namespace

// The formats are described in design 6.
auto renew(json::value& value) -> void {
    if (value.is_array()) {
        for (auto& item : value.as_array()) renew(item);
        return;
    }
    if (!value.is_object()) return;
    auto& object = value.as_object();
    rename_fields(object);
    list_single_follower(object);
    for (auto& [name, item] : object) renew(item);
}

auto seal(std::uint64_t generation, std::string const& body) -> std::string {
    std::string bytes;
    put_number(bytes, generation);
    put_text(bytes, body);
    put_number(bytes, checksum_of(bytes));
    return bytes;
}

auto unseal(std::string_view& bytes) -> std::optional<Sealed> {
    auto rest = bytes;
    auto const generation = take_number(rest);
    auto const body = take_text(rest);
    if (!generation || !body) return std::nullopt;
    auto const covered = bytes.substr(0, bytes.size() - rest.size());
    if (take_number(rest) != checksum_of(covered)) return std::nullopt;
    bytes = rest;
    return Sealed{*generation, *body};
}

}  // namespace dockrock
