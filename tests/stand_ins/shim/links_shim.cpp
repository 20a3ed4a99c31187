// A shim for tests only, loaded into nodes by the soak (tests/soak/links.py): links between nodes that are
// cut or lossy, one way too. The product knows nothing of it. Packets from the addresses that the file
// DOCKROCK_LINKS_FILE names ("IP SHARE" on each line) are dropped by the system as they reach the sockets of
// this process: a cut connection hangs, its sender repeats as it would on a real link, nothing is reset.
// What the process dials itself comes from its own address, DOCKROCK_LINKS_IP. docs/soak.md.
#include <arpa/inet.h>
#include <dirent.h>
#include <dlfcn.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <pthread.h>
#include <sys/socket.h>
#include <time.h>

#include <array>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>
#include <vector>

namespace {

constexpr auto look_nanoseconds = 10'000'000L;
constexpr auto source_place = static_cast<std::uint32_t>(SKF_NET_OFF + 12);  // of the sender's address in a packet
constexpr auto random_place = static_cast<std::uint32_t>(SKF_AD_OFF + SKF_AD_RANDOM);
constexpr auto same_fleet = std::uint32_t{0xffffff00U};
constexpr auto pass_all = std::uint32_t{0xffffffffU}, drop = std::uint32_t{0};

auto known_rules = std::string();
auto program = std::vector<sock_filter>{{BPF_RET | BPF_K, 0, 0, pass_all}};
auto program_lock = std::mutex();

auto own_address() -> std::uint32_t {
    auto const* text = std::getenv("DOCKROCK_LINKS_IP");
    return text == nullptr ? 0 : ntohl(::inet_addr(text));
}

auto read_rules() -> std::string {
    auto text = std::string();
    auto const* path = std::getenv("DOCKROCK_LINKS_FILE");
    auto* file = path == nullptr ? nullptr : std::fopen(path, "re");
    if (file == nullptr) return text;
    auto bytes = std::array<char, 4096>{};
    text.assign(bytes.data(), std::fread(bytes.data(), 1, bytes.size(), file));
    std::fclose(file);
    return text;
}

// Each rule: its sender's packets are dropped with the given chance.
auto compile(std::string const& rules) -> std::vector<sock_filter> {
    auto made = std::vector<sock_filter>();
    auto place = std::size_t{0};
    while (place < rules.size()) {
        auto const end = std::min(rules.find('\n', place), rules.size());
        auto const line = rules.substr(place, end - place);
        place = end + 1;
        auto const gap = line.find(' ');
        if (gap == std::string::npos) continue;
        auto const address = ntohl(::inet_addr(line.substr(0, gap).c_str()));
        auto const most = std::strtod(line.c_str() + gap, nullptr) * static_cast<double>(pass_all);
        made.push_back({BPF_LD | BPF_W | BPF_ABS, 0, 0, source_place});
        made.push_back({BPF_JMP | BPF_JEQ | BPF_K, 0, 3, address});
        made.push_back({BPF_LD | BPF_W | BPF_ABS, 0, 0, random_place});
        made.push_back({BPF_JMP | BPF_JGT | BPF_K, 1, 0, static_cast<std::uint32_t>(most)});
        made.push_back({BPF_RET | BPF_K, 0, 0, drop});
    }
    made.push_back({BPF_RET | BPF_K, 0, 0, pass_all});
    return made;
}

auto is_own(int descriptor) -> bool {
    auto address = sockaddr_in{};
    auto size = static_cast<socklen_t>(sizeof(address));
    if (::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0) return false;
    return address.sin_family == AF_INET && ntohl(address.sin_addr.s_addr) == own_address();
}

auto attach(int descriptor) -> void {
    auto const whole = sock_fprog{static_cast<unsigned short>(program.size()), program.data()};
    ::setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &whole, sizeof(whole));
}

auto attach_to_all() -> void {
    auto* folder = ::opendir("/proc/self/fd");
    if (folder == nullptr) return;
    while (auto const* entry = ::readdir(folder)) {
        auto const descriptor = std::atoi(entry->d_name);
        if (descriptor > 2 && is_own(descriptor)) attach(descriptor);
    }
    ::closedir(folder);
}

// Beside the file of the rules, with ".seen" to its name: the rules that every socket follows by now.
auto tell_in_force(std::string const& rules) -> void {
    auto const seen = std::string(std::getenv("DOCKROCK_LINKS_FILE")) + ".seen";
    auto const fresh = seen + ".new";
    auto* file = std::fopen(fresh.c_str(), "we");
    if (file == nullptr) return;
    std::fwrite(rules.data(), 1, rules.size(), file);
    if (std::fclose(file) == 0) std::rename(fresh.c_str(), seen.c_str());
}

auto look() -> void {
    auto rules = read_rules();
    auto const guard = std::lock_guard(program_lock);
    if (rules == known_rules) return;
    program = compile(rules);
    known_rules = std::move(rules);
    attach_to_all();
    tell_in_force(known_rules);
}

auto look_on(void*) -> void* {
    while (true) {
        auto const length = timespec{0, look_nanoseconds};
        ::nanosleep(&length, nullptr);
        look();
    }
}

// From its own address to other nodes, with the rules in force from the first packet on.
auto prepare(int descriptor, sockaddr_in const& target) -> void {
    auto const own = own_address();
    if (own == 0 || (ntohl(target.sin_addr.s_addr) & same_fleet) != (own & same_fleet)) return;
    auto const guard = std::lock_guard(program_lock);
    auto source = sockaddr_in{};
    source.sin_family = AF_INET;
    source.sin_addr.s_addr = htonl(own);
    auto const later = 1;
    ::setsockopt(descriptor, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &later, sizeof(later));
    ::bind(descriptor, reinterpret_cast<sockaddr*>(&source), sizeof(source));
    attach(descriptor);
}

__attribute__((constructor)) auto begin() -> void {
    if (std::getenv("DOCKROCK_LINKS_FILE") == nullptr) return;
    look();
    auto thread = pthread_t();
    if (::pthread_create(&thread, nullptr, look_on, nullptr) == 0) ::pthread_detach(thread);
}

}  // namespace

extern "C" {

auto connect(int descriptor, sockaddr const* target, socklen_t size) -> int {
    static auto const real = reinterpret_cast<int (*)(int, sockaddr const*, socklen_t)>(::dlsym(RTLD_NEXT, "connect"));
    if (target != nullptr && target->sa_family == AF_INET && size >= sizeof(sockaddr_in))
        prepare(descriptor, *reinterpret_cast<sockaddr_in const*>(target));
    return real(descriptor, target, size);
}

auto listen(int descriptor, int waiting) noexcept -> int {
    static auto const real = reinterpret_cast<int (*)(int, int)>(::dlsym(RTLD_NEXT, "listen"));
    if (std::getenv("DOCKROCK_LINKS_FILE") != nullptr && is_own(descriptor)) {
        auto const guard = std::lock_guard(program_lock);
        attach(descriptor);
    }
    return real(descriptor, waiting);
}

}  // extern "C"
