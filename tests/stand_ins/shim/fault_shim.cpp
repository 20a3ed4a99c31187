// A shim for tests only, loaded into chosen processes by the fleet script: sick
// disks and a jumping wall clock. The product knows nothing of it. It looks at
// the file named by DOCKROCK_SHIM_FILE, which holds "slow MILLISECONDS",
// "stall", "full" or "clock SECONDS", one on each line. docs/proofs.md.
// Each synced data file is copied to the folder DOCKROCK_SHIM_SYNCED, where there is one, so that a loss
// of power can take later writes away (tests/soak/power.py). With DOCKROCK_SHIM_UNSYNCED, a disk that
// lies: syncs are reported and nothing is synced.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/types.h>
#include <time.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <string_view>

namespace {

struct Faults {
    long slow_milliseconds = 0;
    long clock_seconds = 0;
    bool stall = false;
    bool full = false;
};

auto read_faults() -> Faults {
    Faults faults;
    auto const* path = std::getenv("DOCKROCK_SHIM_FILE");
    if (path == nullptr) return faults;
    auto const descriptor = static_cast<int>(::syscall(SYS_openat, AT_FDCWD, path, O_RDONLY | O_CLOEXEC, 0));
    if (descriptor < 0) return faults;
    auto text = std::array<char, 256>{};
    auto const size = ::syscall(SYS_read, descriptor, text.data(), text.size() - 1);
    ::syscall(SYS_close, descriptor);
    auto rest = std::string_view(text.data(), size > 0 ? static_cast<std::size_t>(size) : 0);
    while (!rest.empty()) {
        auto const line = rest.substr(0, rest.find('\n'));
        rest.remove_prefix(std::min(rest.size(), line.size() + 1));
        if (line.substr(0, 5) == "slow ") faults.slow_milliseconds = std::atol(line.data() + 5);
        if (line.substr(0, 6) == "clock ") faults.clock_seconds = std::atol(line.data() + 6);
        if (line.substr(0, 5) == "stall") faults.stall = true;
        if (line.substr(0, 4) == "full") faults.full = true;
    }
    return faults;
}

auto pause(long milliseconds) -> void {
    auto length = timespec{milliseconds / 1'000, milliseconds % 1'000 * 1'000'000};
    ::nanosleep(&length, nullptr);
}

auto path_of(int descriptor) -> std::string {
    auto name = std::array<char, 64>{};
    auto path = std::array<char, 512>{};
    auto const* prefix = "/proc/self/fd/";
    std::strcpy(name.data(), prefix);
    auto digits = std::array<char, 16>{};
    auto count = std::size_t{0};
    do digits[count++] = static_cast<char>('0' + descriptor % 10);
    while ((descriptor /= 10) > 0);
    auto place = std::strlen(prefix);
    while (count > 0) name[place++] = digits[--count];
    auto const size = ::readlink(name.data(), path.data(), path.size() - 1);
    return {path.data(), size > 0 ? static_cast<std::size_t>(size) : 0};
}

// Only files in a data folder are sick; logs and records are not.
auto in_data_folder(int descriptor) -> bool { return path_of(descriptor).find("-data") != std::string::npos; }

// In one step, as the process may be killed at any moment.
auto copy_synced(int descriptor) -> void {
    auto const* folder = std::getenv("DOCKROCK_SHIM_SYNCED");
    struct stat facts {};
    if (folder == nullptr || ::fstat(descriptor, &facts) != 0 || !S_ISREG(facts.st_mode)) return;
    auto const path = path_of(descriptor);
    auto const copy = folder + path.substr(path.rfind('/')), fresh = copy + ".new";
    auto const from = static_cast<int>(::syscall(SYS_openat, AT_FDCWD, path.c_str(), O_RDONLY | O_CLOEXEC, 0));
    auto const into = static_cast<int>(
        ::syscall(SYS_openat, AT_FDCWD, fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    auto piece = std::array<char, 16'384>{};
    auto size = 0L;
    while ((size = ::syscall(SYS_read, from, piece.data(), piece.size())) > 0)
        ::syscall(SYS_write, into, piece.data(), static_cast<std::size_t>(size));
    ::syscall(SYS_close, from);
    ::syscall(SYS_close, into);
    std::rename(fresh.c_str(), copy.c_str());
}

template <typename Function>
auto real(char const* name) -> Function {
    return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

auto sync_with(char const* name, int descriptor) -> int {
    if (in_data_folder(descriptor)) {
        auto faults = read_faults();
        while (faults.stall) {
            pause(20);
            faults = read_faults();
        }
        if (faults.slow_milliseconds > 0) pause(faults.slow_milliseconds);
        if (faults.full) {
            errno = ENOSPC;
            return -1;
        }
    }
    if (std::getenv("DOCKROCK_SHIM_UNSYNCED") != nullptr) return 0;
    auto const result = real<int (*)(int)>(name)(descriptor);
    if (result == 0 && in_data_folder(descriptor)) copy_synced(descriptor);
    return result;
}

}  // namespace

extern "C" {

auto write(int descriptor, void const* bytes, std::size_t size) -> ssize_t {
    if (descriptor > 2 && in_data_folder(descriptor) && read_faults().full) {
        errno = ENOSPC;
        return -1;
    }
    return static_cast<ssize_t>(::syscall(SYS_write, descriptor, bytes, size));
}

auto fsync(int descriptor) -> int { return sync_with("fsync", descriptor); }
auto fdatasync(int descriptor) -> int { return sync_with("fdatasync", descriptor); }

auto clock_gettime(clockid_t clock, timespec* into) noexcept -> int {
    auto const result = static_cast<int>(::syscall(SYS_clock_gettime, clock, into));
    if (result == 0 && clock == CLOCK_REALTIME) into->tv_sec += read_faults().clock_seconds;
    return result;
}

}  // extern "C"
