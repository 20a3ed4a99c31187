#include "process/storage.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>

#include "process/storage_format.hpp"

namespace dockrock {

namespace {

constexpr auto former_log = "log";  // of a former format: one log for both slots

// The slot and log files that a generation is written to.
auto slot_name(std::uint64_t generation) -> std::string { return generation % 2 == 0 ? "slot-a" : "slot-b"; }
auto log_name(std::uint64_t generation) -> std::string { return generation % 2 == 0 ? "log-a" : "log-b"; }

// The bytes of a file, empty if it does not exist; nullopt if it cannot be read.
auto read_file(std::filesystem::path const& path) -> std::optional<std::string> {
    auto const descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) return errno == ENOENT ? std::optional<std::string>(std::string()) : std::nullopt;
    std::string bytes;
    auto piece = std::array<char, 65'536>{};
    auto count = ssize_t{0};
    while ((count = ::read(descriptor, piece.data(), piece.size())) != 0) {
        if (count < 0 && errno == EINTR) continue;
        if (count < 0) break;
        bytes.append(piece.data(), static_cast<std::size_t>(count));
    }
    ::close(descriptor);
    if (count < 0) return std::nullopt;
    return bytes;
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

}  // namespace

// Skips entries of older generations and ignores a torn tail. Returns false (damage) on valid entries
// behind a bad one, or of a generation whose slot is lost. A log starts with an empty entry, written
// once its slot was synced; `headed` is set if an entry of the newest generation is found.
auto Storage::apply_log(std::string_view entries, std::uint64_t newest, bool& headed) -> bool {
    while (!entries.empty()) {
        auto const entry = unseal(entries);
        if (!entry) {
            for (auto skip = std::size_t{1}; skip < entries.size(); ++skip) {
                auto behind = entries.substr(skip);
                if (behind.size() >= sealed_least && unseal(behind)) return false;
            }
            return true;
        }
        if (entry->generation > newest) return false;
        if (entry->generation < newest) continue;
        headed = true;
        if (entry->body.empty()) continue;
        auto const saved = read_as<SavedPartition>(entry->body);
        if (!saved) return false;
        if (!take_saved(state.partitions, *saved)) return false;
    }
    return true;
}

auto Storage::open(std::filesystem::path const& where) -> LoadResult {
    folder = where;
    std::error_code failure;
    std::filesystem::create_directories(folder, failure);
    if (failure) return LoadResult::failed;
    auto newest = std::optional<Sealed>{};
    auto any_file = false;
    auto slots_whole = 0;
    for (auto number : {std::uint64_t{0}, std::uint64_t{1}}) {
        auto const bytes = read_file(folder / slot_name(number));
        if (!bytes) return LoadResult::failed;
        any_file = any_file || !bytes->empty();
        auto view = std::string_view(*bytes);
        auto const slot = unseal(view);
        if (slot) ++slots_whole;
        if (slot && (!newest || slot->generation > newest->generation)) newest = slot;
    }
    auto logs = std::array<std::string, 3>{};
    for (auto place = std::size_t{0}; place < logs.size(); ++place) {
        auto const bytes = read_file(folder / std::to_array<std::string>({"log-a", "log-b", former_log})[place]);
        if (!bytes) return LoadResult::failed;
        logs[place] = *bytes;
    }
    if (!newest) return any_file ? LoadResult::damaged : LoadResult::fresh;
    auto const loaded = read_as<StoredState>(newest->body);
    if (!loaded) return LoadResult::damaged;
    state = *loaded;
    slot_size = newest->body.size();
    auto headed = false;
    for (auto const& log : logs)
        if (!apply_log(log, newest->generation, headed)) return LoadResult::damaged;
    // The sync of a slot without a log of its own may have failed: the slot is rewritten, and the pair before it,
    // which then holds every acknowledged change, is kept until the rewritten slot is synced.
    auto const in_doubt = !headed && slots_whole == 2 && !std::filesystem::exists(folder / former_log, failure);
    generation = in_doubt ? newest->generation - 1 : newest->generation;
    return LoadResult::loaded;
}

auto Storage::report(FileEvent::Kind kind, std::string const& file, std::string_view bytes) const -> void {
    if (watch) watch({kind, file, std::string(bytes)});
}

auto Storage::open_empty(std::string const& file) const -> int {
    if (refused(FileEvent::Kind::truncated, file)) return -1;
    auto const flags = O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC | O_TRUNC;
    auto const descriptor = ::open((folder / file).c_str(), flags, 0600);
    if (descriptor >= 0) report(FileEvent::Kind::truncated, file);
    return descriptor;
}

auto Storage::append(int descriptor, std::string const& file, std::string_view bytes) const -> bool {
    if (refused(FileEvent::Kind::written, file)) return false;
    if (!write_all(descriptor, bytes)) return false;
    report(FileEvent::Kind::written, file, bytes);
    return true;
}

auto Storage::sync(int descriptor, std::string const& file) const -> bool {
    auto const good = !refused(FileEvent::Kind::synced, file) && ::fdatasync(descriptor) == 0;
    report(good ? FileEvent::Kind::synced : FileEvent::Kind::sync_failed, file);
    return good;
}

auto Storage::sync_folder() const -> bool {
    if (refused(FileEvent::Kind::folder_synced, "")) return false;
    auto const descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) return false;
    auto const good = ::fsync(descriptor) == 0;
    ::close(descriptor);
    if (good) report(FileEvent::Kind::folder_synced, "");
    return good;
}

// Starts the log of the newest slot with its empty first entry.
auto Storage::begin_log() -> bool {
    if (log_descriptor >= 0) ::close(log_descriptor);
    auto const name = log_name(generation);
    log_descriptor = open_empty(name);
    log_size = 0;
    if (log_descriptor < 0) return false;
    return append(log_descriptor, name, seal(generation, "")) && sync(log_descriptor, name) && sync_folder();
}

// A slot becomes the newest, and the one before it may be overwritten, only once it is synced.
auto Storage::write_slot() -> bool {
    auto const next = generation + 1;
    auto const name = slot_name(next);
    auto const descriptor = open_empty(name);
    if (descriptor < 0) return false;
    auto const bytes = seal(next, json::serialize(write_json(state)));
    slot_size = bytes.size();
    auto const synced = append(descriptor, name, bytes) && sync(descriptor, name);
    ::close(descriptor);
    if (!synced || !sync_folder()) return false;
    generation = next;
    if (!begin_log()) return false;
    std::error_code ignored;
    std::filesystem::remove(folder / former_log, ignored);
    return true;
}

auto Storage::begin(std::string const& identity, std::uint64_t incarnation) -> bool {
    if (state.identity != identity) state.partitions.clear();
    state.identity = identity;
    state.incarnation = incarnation;
    broken = !write_slot();
    return !broken;
}

auto Storage::repair() -> bool {
    if (inconsistent) return false;
    if (broken) broken = !write_slot();
    return !broken;
}

// Group commit: one write and one sync for the whole batch.
auto Storage::write(std::vector<SavedPartition> const& batch) -> bool {
    std::string bytes;
    for (auto const& saved : batch) {
        if (!take_saved(state.partitions, saved)) {
            broken = inconsistent = true;  // the state to sync is unknown here: it must not be acknowledged
            return false;
        }
        if (!broken) bytes += seal(generation, json::serialize(write_json(saved)));
    }
    if (broken) return false;
    auto const name = log_name(generation);
    broken = !append(log_descriptor, name, bytes) || !sync(log_descriptor, name);
    log_size += bytes.size();
    if (!broken && log_size > std::max(log_most, 2 * slot_size)) broken = !write_slot();
    return !broken;
}

auto Storage::close() -> void {
    if (log_descriptor >= 0) ::close(log_descriptor);
    log_descriptor = -1;
}

}  // namespace dockrock
