"""A node under resource limits enforced by the kernel: it runs within them, or reports why it cannot."""

import resource
import signal
import socket
import sys
import threading
import time
from collections import Counter

from node_settings import PORTS
from single_node import CAPS, END_LIMIT_S, Node, run_cases
from unfinished import HALF_A_BODY, SMALL_FIELDS, START_OF_A_BODY, begin, end_of

DISK_WAITED_FOR_S = 0.6
NO_ROOM = 3  # exit status
LONG_BODY, CLIENTS, RAM_MB = 4_194_304, 100, 260
FEW_DESCRIPTORS, SETTLED_S = 128, 0.5
NEEDS = "memory: the start needs"
MANY_CLIENTS, TEST_DESCRIPTORS = 2_900, 8_192
REDIALLED_S = 2.5  # a seed that never answers is redialled after 1.5 s
MEBIBYTE = 1 << 20


def fatal_signal_is_told(program, folder):
    with Node(program, folder) as node:
        if not node.starts():
            return "it does not start: " + node.told()
        node.process.send(signal.SIGSEGV)
        status = node.ended()
        if status != -signal.SIGSEGV or "signal 11 while running, memory limit 260000000 bytes" not in node.told():
            return "status %s, told %r" % (status, node.told()[-200:])


def limits_are_shown(program, folder):
    with Node(program, folder) as node:
        if not node.starts():
            return "it does not start: " + node.told()
        text = node.ask("last", "/metrics")[2]
        wanted = ['memory_limit_bytes{kind="resident"} 260000000', "descriptor_limit 4100", "threads "]
        missing = [line for line in wanted if "dockrock_" + line not in text]
        if missing or '"event":"machine-limits","resident_bytes":260000000' not in node.told():
            return "missing %s in metrics, or the line in the log: %r" % (missing, node.told()[:300])


def starts_under(core, *limits):
    """A node runs under these kernel limits, in MiB, from its start to its graceful stop."""

    def case(program, folder):
        with Node(program, folder, core, [(which, value * MEBIBYTE) for which, value in limits]) as node:
            if not node.starts():
                return "it does not start: status %s, told %r" % (node.status(), node.told()[-200:])
            node.process.send(signal.SIGTERM)
            status = node.ended()
            if status != 0:
                return "it ended with %s" % status

    return case


def ends_when_told_as_it_starts(program, folder):
    """A core node waits 0.6 s for its disk before it starts without it; signals during that time take effect."""
    with Node(program, folder, core=True, data="settings.toml/none") as node:
        time.sleep(DISK_WAITED_FOR_S / 3)
        if '"event":"started"' in node.told():
            return "it did not wait for its disk"
        node.process.send(signal.SIGHUP)
        node.process.send(signal.SIGTERM)
        status = node.ended()
        if status != 0:
            return "it ended with %s" % status


def says_what_is_missing(which, value, words, caps=CAPS):
    def case(program, folder):
        with Node(program, folder, limits=[(which, value)] if which else [], caps=caps) as node:
            status = node.ended()
            if status != NO_ROOM or words not in node.told():
                return "status %s, told %r" % (status, node.told()[-300:])

    return case


def bears_long_bodies(program, folder):
    """Clients whose bodies together exceed the memory that the node may use."""
    with Node(program, folder) as node:
        if not node.starts():
            return "it does not start: " + node.told()
        answers = []
        body, headers = b"b" * LONG_BODY, {"Request-Id": "1"}

        def send_long_body():
            answers.append(node.ask("front", "/a", body, headers=headers)[0])

        clients = [threading.Thread(target=send_long_body) for _ in range(CLIENTS)]
        for client in clients:
            client.start()
        for client in clients:
            client.join()
        peak = node.resident_peak()
        if not node.listens() or peak is None:
            return "it is gone: %s, %r" % (node.status(), node.told()[-200:])
        if peak > RAM_MB * 1_000_000:
            return "%d MB resident at the peak, %d are allowed" % (peak // 1_000_000, RAM_MB)
        if set(answers) != {503}:  # it has no configuration
            return "answers %s" % {answer: answers.count(answer) for answer in set(answers)}


def stays_reachable_when_clients_hold_all(program, folder):
    """More idle client connections than the node has file descriptors."""
    with Node(program, folder, limits=[(resource.RLIMIT_NOFILE, FEW_DESCRIPTORS)]) as node:
        if not node.starts():
            return "it does not start: " + node.told()
        clients = []
        for _ in range(2 * FEW_DESCRIPTORS):
            clients.append(socket.create_connection((node.address, PORTS["front"]), timeout=END_LIMIT_S))
        time.sleep(SETTLED_S)
        status = node.ask("ready", "/ready")[0]
        for client in clients:
            client.close()
        if status != 503:  # it has no configuration
            return "ready: %s" % status


def holds_unfinished(request, *limits):
    """Many clients with stalled requests: each of them waits or gets 503, none is reset."""

    def case(program, folder):
        with Node(program, folder, limits=limits) as node:
            if not node.starts():
                return "it does not start: " + node.told()
            ends, clients = Counter(), []
            try:
                for _ in range(MANY_CLIENTS):
                    clients.append(begin(node.address, PORTS["front"], request))
                time.sleep(SETTLED_S)
                ends = Counter(end_of(client) for client in clients)
            except OSError as failure:
                return "client %d: %s, status %s: %r" % (len(clients), failure, node.status(), node.told()[-200:])
            finally:
                for client in clients:
                    client.close()
            peak = node.resident_peak() or 0
            if not node.listens() or set(ends) - {"open", "503"}:
                return "status %s, clients %s: %r" % (node.status(), dict(ends), node.told()[-200:])
            if peak > RAM_MB * 1_000_000:
                return "%d MB resident at the peak, %d are allowed" % (peak // 1_000_000, RAM_MB)

    return case


def needs_no_thread_once_it_runs(program, folder):
    """Once the node has started, its address space limit leaves no room for another thread stack."""
    with Node(program, folder) as node:
        if not node.starts():
            return "it does not start: " + node.told()
        in_use = node.address_space() + MEBIBYTE // 2
        resource.prlimit(node.process.handle.pid, resource.RLIMIT_AS, (in_use, in_use))
        time.sleep(REDIALLED_S)
        if '"event":"peer-dialled-anew"' not in node.told():
            return "no link was dialled anew"
        if not node.listens():
            return "status %s: %r" % (node.status(), node.told()[-200:])


CASES = {
    "told to end as it starts, it ends with 0": ends_when_told_as_it_starts,
    "an edge starts in an address space of 160 MiB": starts_under(False, (resource.RLIMIT_AS, 160)),
    "an edge starts in an address space of 256 MiB": starts_under(False, (resource.RLIMIT_AS, 256)),
    "a core starts in an address space of 256 MiB": starts_under(True, (resource.RLIMIT_AS, 256)),
    "an edge starts in a data segment of 160 MiB": starts_under(False, (resource.RLIMIT_DATA, 160)),
    "a core starts in a data segment of 256 MiB": starts_under(True, (resource.RLIMIT_DATA, 256)),
    "large stacks of the system are not those of threads": starts_under(
        False, (resource.RLIMIT_STACK, 64), (resource.RLIMIT_AS, 512)
    ),
    "long bodies of many clients stay within its memory": bears_long_bodies,
    "heads of many small fields stay within its memory": holds_unfinished(SMALL_FIELDS),
    "unfinished bodies stay within its memory": holds_unfinished(HALF_A_BODY),
    "unfinished bodies stay within its address space": holds_unfinished(
        START_OF_A_BODY, (resource.RLIMIT_AS, RAM_MB * 1_000_000)
    ),
    "its shares stay within a small address space": holds_unfinished(
        HALF_A_BODY, (resource.RLIMIT_AS, 160 * MEBIBYTE)
    ),
    "once it runs it begins no thread": needs_no_thread_once_it_runs,
    "clients that rest leave descriptors for others": stays_reachable_when_clients_hold_all,
    "no room in the address space is told": says_what_is_missing(resource.RLIMIT_AS, 64 * MEBIBYTE, NEEDS),
    "no room in the data segment is told": says_what_is_missing(resource.RLIMIT_DATA, 32 * MEBIBYTE, NEEDS),
    "too few descriptors are told": says_what_is_missing(resource.RLIMIT_NOFILE, 32, "descriptors: 32 are allowed"),
    "too little resident memory is told": says_what_is_missing(None, 0, "resident memory: ", "\n[caps]\nramMb = 20\n"),
    "a fatal signal leaves a line with what was in use": fatal_signal_is_told,
    "limits and use are shown": limits_are_shown,
}


if __name__ == "__main__":
    resource.setrlimit(resource.RLIMIT_NOFILE, (TEST_DESCRIPTORS, TEST_DESCRIPTORS))
    sys.exit(run_cases("process_limits_test", CASES, sys.argv[1] if len(sys.argv) > 1 else "build"))
