#include "process/fatal_signals.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <string_view>

namespace dockrock {

namespace {

constexpr auto fatal_signals = std::to_array<int>({SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT});
constexpr auto phase_names = std::to_array<char const*>({"starting", "running", "stopping"});

auto current_phase = std::atomic<ProcessPhase>(ProcessPhase::starting);
auto known_limit = std::atomic<std::uint64_t>(no_limit);

// A text buffer of fixed size, as a signal handler may neither allocate memory nor take a lock.
struct FixedText {
    std::array<char, 512> bytes{};
    std::size_t size = 0;

    auto add(std::string_view text) -> void {
        for (auto character : text)
            if (size < bytes.size()) bytes[size++] = character;
    }
    auto add_number(std::uint64_t number) -> void {
        auto digits = std::array<char, 20>{};
        auto first = digits.size();
        do {
            digits[--first] = static_cast<char>('0' + number % 10);
            number /= 10;
        } while (number > 0);
        add({digits.data() + first, digits.size() - first});
    }
    // Fields, in pages: total, resident, shared, code, 0, data, 0. Source: proc(5).
    auto add_page_counts() -> void {
        auto const file = ::open("/proc/self/statm", O_RDONLY | O_CLOEXEC);
        if (file < 0) return;
        auto read = std::array<char, 128>{};
        auto const count = ::read(file, read.data(), read.size());
        ::close(file);
        if (count > 0) add({read.data(), static_cast<std::size_t>(count)});
    }
};

auto report_signal(int signal) -> void {
    auto line = FixedText();
    line.add("dockrock ends: signal ");
    line.add_number(static_cast<std::uint64_t>(signal));
    line.add(" while ");
    line.add(phase_names[static_cast<std::size_t>(current_phase.load())]);
    if (auto const limit = known_limit.load(); limit != no_limit) {
        line.add(", memory limit ");
        line.add_number(limit);
        line.add(" bytes");
    }
    line.add(", pages in use (proc(5) statm) ");
    line.add_page_counts();
    if (line.bytes[line.size - 1] != '\n') line.add("\n");
    [[maybe_unused]] auto const written = ::write(STDERR_FILENO, line.bytes.data(), line.size);
    ::raise(signal);  // raised again in case another process sent it; pending until this handler returns
}

}  // namespace

auto set_process_phase(ProcessPhase phase) -> void { current_phase = phase; }

// The handler is reset once it has run, so the signal's default action follows, with a core dump where enabled.
auto report_fatal_signals(MachineLimits const& limits) -> void {
    known_limit = limits.memory();
    struct sigaction action = {};
    action.sa_handler = report_signal;
    action.sa_flags = static_cast<int>(SA_RESETHAND);
    for (auto signal : fatal_signals) ::sigaction(signal, &action, nullptr);
}

}  // namespace dockrock
