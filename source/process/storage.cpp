#include "process/storage.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <fstream>
#include <iterator>

#include "base/frame.hpp"

namespace dockrock {

namespace {

auto slot_path(std::filesystem::path const& folder, std::uint64_t generation) -> std::filesystem::path {
    return folder / (generation % 2 == 0 ? "slot-a" : "slot-b");
}

auto read_file(std::filesystem::path const& path) -> std::string {
    auto stream = std::ifstream(path, std::ios::binary);
    return std::string(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
}

auto seal(std::uint64_t generation, std::string const& body) -> std::string {
    std::string bytes;
    put_number(bytes, generation);
    put_text(bytes, body);
    put_number(bytes, checksum_of(bytes));
    return bytes;
}

struct Sealed {
    std::uint64_t generation = 0;
    std::string body;
};

// Takes one sealed block off the front; nothing where it is torn or bad.
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

auto write_all(int descriptor, std::string_view bytes) -> bool {
    while (!bytes.empty()) {
        auto const written = ::write(descriptor, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) continue;
        if (written <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

auto sync_folder(std::filesystem::path const& folder) -> bool {
    auto const descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY);
    if (descriptor < 0) return false;
    auto const good = ::fsync(descriptor) == 0;
    ::close(descriptor);
    return good;
}

// Field names of the two former formats on disk, and what they are called now.
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

// The first format named one follower only.
auto list_single_follower(json::object& record) -> void {
    auto const* single = record.if_contains("understudy");
    if (single == nullptr || !single->is_string()) return;
    json::array list;
    if (!single->as_string().empty() && *single != record["leader"]) list.push_back(*single);
    record["followers"] = std::move(list);
    record.erase("understudy");
}

// Brings a state or log entry of a former format to the present one (design 6).
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

template <typename Type>
auto read_as(std::string const& text) -> std::optional<Type> {
    auto parsed = parse_json(text);
    if (!parsed) return std::nullopt;
    renew(*parsed);
    Type result;
    Problems problems;
    read_json(*parsed, result, "", problems);
    if (!problems.empty()) return std::nullopt;
    return result;
}

}  // namespace

auto Storage::apply(SavedPartition const& saved) -> void {
    for (auto& partition : state.partitions) {
        if (partition.partition != saved.partition) continue;
        return merge_saved(partition, saved);
    }
    state.partitions.push_back(saved);
}

auto Storage::open(std::filesystem::path const& where) -> LoadResult {
    folder = where;
    std::error_code failure;
    std::filesystem::create_directories(folder, failure);
    if (failure) return LoadResult::failed;
    auto newest = std::optional<Sealed>{};
    auto any_file = false;
    for (auto number : {std::uint64_t{0}, std::uint64_t{1}}) {
        auto const bytes = read_file(slot_path(folder, number));
        any_file = any_file || !bytes.empty();
        auto view = std::string_view(bytes);
        auto const slot = unseal(view);
        if (slot && (!newest || slot->generation > newest->generation)) newest = slot;
    }
    if (!newest) return any_file ? LoadResult::damaged : LoadResult::fresh;
    auto const loaded = read_as<StoredState>(newest->body);
    if (!loaded) return LoadResult::damaged;
    state = *loaded;
    generation = newest->generation;
    auto const bytes = read_file(folder / "log");
    auto view = std::string_view(bytes);
    while (!view.empty()) {
        auto const entry = unseal(view);
        if (!entry) {  // a torn tail is cut; good entries behind a bad one mean damage
            for (auto skip = std::size_t{1}; skip < view.size(); ++skip) {
                auto behind = view.substr(skip);
                if (behind.size() >= 24 && unseal(behind)) return LoadResult::damaged;
            }
            break;
        }
        if (entry->generation > generation) return LoadResult::damaged;  // the slot these belong to is lost
        if (entry->generation < generation) continue;
        auto const saved = read_as<SavedPartition>(entry->body);
        if (!saved) return LoadResult::damaged;
        apply(*saved);
    }
    return LoadResult::loaded;
}

auto Storage::tell(FileEvent::Kind kind, std::string const& file, std::string_view bytes) const -> void {
    if (watch) watch({kind, file, std::string(bytes)});
}

auto Storage::open_log(bool truncate) -> bool {
    if (log_descriptor >= 0) ::close(log_descriptor);
    auto const flags = O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC | (truncate ? O_TRUNC : 0);
    log_descriptor = ::open((folder / "log").c_str(), flags, 0600);
    log_size = 0;
    if (log_descriptor < 0) return false;
    if (truncate) tell(FileEvent::Kind::truncated, "log");
    if (::fdatasync(log_descriptor) != 0) return false;
    tell(FileEvent::Kind::synced, "log");
    if (!sync_folder(folder)) return false;
    tell(FileEvent::Kind::folder_synced, "");
    return true;
}

auto Storage::write_slot() -> bool {
    ++generation;
    auto const path = slot_path(folder, generation);
    auto const name = path.filename().string();
    auto const descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (descriptor < 0) return false;
    tell(FileEvent::Kind::truncated, name);
    auto const bytes = seal(generation, json::serialize(write_json(state)));
    auto const good = write_all(descriptor, bytes);
    if (good) tell(FileEvent::Kind::written, name, bytes);
    auto const synced = good && ::fsync(descriptor) == 0;
    ::close(descriptor);
    if (!synced) return false;
    tell(FileEvent::Kind::synced, name);
    if (!sync_folder(folder)) return false;
    tell(FileEvent::Kind::folder_synced, "");
    return open_log(true);
}

// Also where a damaged or blank folder begins anew, under a new identity.
auto Storage::begin(std::string const& identity, std::uint64_t incarnation) -> bool {
    if (state.identity != identity) state.partitions.clear();
    state.identity = identity;
    state.incarnation = incarnation;
    broken = !write_slot();
    return !broken;
}

auto Storage::write(std::vector<SavedPartition> const& batch) -> bool {
    if (broken) return false;
    std::string bytes;
    for (auto const& saved : batch) {
        apply(saved);
        bytes += seal(generation, json::serialize(write_json(saved)));
    }
    // One write and one sync for all that waited; a failure is final.
    broken = !write_all(log_descriptor, bytes);
    if (!broken) tell(FileEvent::Kind::written, "log", bytes);
    broken = broken || ::fdatasync(log_descriptor) != 0;
    if (!broken) tell(FileEvent::Kind::synced, "log");
    log_size += bytes.size();
    if (!broken && log_size > log_most) broken = !write_slot();
    return !broken;
}

auto Storage::close() -> void {
    if (log_descriptor >= 0) ::close(log_descriptor);
    log_descriptor = -1;
}

}  // namespace dockrock
