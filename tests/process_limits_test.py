"""A node under the limits of its machine, as the kernel enforces them: it runs inside them, or says why it cannot."""

import os
import pathlib
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

from node_settings import PORTS, core_settings, edge_settings, platform_program

EDGE, CORE = "127.9.6.1", "127.9.6.2"
START_LIMIT_S, END_LIMIT_S, POLL_S = 10, 12, 0.02
DISK_WAITED_FOR_S = 0.6
MEBIBYTE = 1 << 20
CAPS = "\n[caps]\nramMb = 260\nnofile = 4100\n"


class Node:
    """A node that was started under `limits`: (resource, value) each."""

    def __init__(self, program, folder, core=False, limits=(), caps=CAPS, data="data"):
        self.address, self.log = CORE if core else EDGE, folder / "log"
        (folder / "data").mkdir(exist_ok=True)
        text = core_settings("core-1", CORE, folder / data) if core else edge_settings("edge-1", EDGE)
        (folder / "settings.toml").write_text(text + caps)
        with self.log.open("w") as log:
            self.process = subprocess.Popen(
                [program],
                env={**os.environ, "DOCKROCK_NODE_FILE": str(folder / "settings.toml")},
                stdout=subprocess.DEVNULL,
                stderr=log,
                preexec_fn=lambda: [resource.setrlimit(which, (value, value)) for which, value in limits],
            )

    def __enter__(self):
        return self

    def __exit__(self, *_):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def listens(self):
        try:
            for port in (PORTS["first"], PORTS["last"]):
                socket.create_connection((self.address, port), timeout=1).close()
        except OSError:
            return False
        return True

    def starts(self):
        limit = time.monotonic() + START_LIMIT_S
        while time.monotonic() < limit and self.process.poll() is None:
            if self.listens():
                return True
            time.sleep(POLL_S)
        return False

    def ended(self):
        """Its status; nothing where it is still there."""
        try:
            return self.process.wait(END_LIMIT_S)
        except subprocess.TimeoutExpired:
            return None

    def told(self):
        return self.log.read_text(errors="replace")

    def metrics(self):
        with urllib.request.urlopen("http://%s:%d/metrics" % (self.address, PORTS["last"]), timeout=2) as answer:
            return answer.read().decode()


def fatal_signal_is_told(program, folder):
    with Node(program, folder) as node:
        if not node.starts():
            return "it does not start: " + node.told()
        node.process.send_signal(signal.SIGSEGV)
        status = node.ended()
        if status != -signal.SIGSEGV or "signal 11 while running, memory limit 260000000 bytes" not in node.told():
            return "status %s, told %r" % (status, node.told()[-200:])


def limits_are_shown(program, folder):
    with Node(program, folder) as node:
        if not node.starts():
            return "it does not start: " + node.told()
        text = node.metrics()
        wanted = ['memory_limit_bytes{kind="resident"} 260000000', "descriptor_limit 4100", "threads "]
        missing = [line for line in wanted if "dockrock_" + line not in text]
        if missing or '"event":"machine-limits","resident_bytes":260000000' not in node.told():
            return "missing %s in metrics, or the line in the log: %r" % (missing, node.told()[:300])


def starts_under(core, *limits):
    """Bears these limits of the kernel, in MiB, from its start to its polite end."""

    def case(program, folder):
        with Node(program, folder, core, [(which, value * MEBIBYTE) for which, value in limits]) as node:
            if not node.starts():
                return "it does not start: status %s, told %r" % (node.process.poll(), node.told()[-200:])
            node.process.send_signal(signal.SIGTERM)
            status = node.ended()
            if status != 0:
                return "it ended with %s" % status

    return case


def ends_when_told_as_it_starts(program, folder):
    """A core node waits for its disk for 0.6 s before it goes on without."""
    with Node(program, folder, core=True, data="settings.toml/none") as node:
        time.sleep(DISK_WAITED_FOR_S / 3)
        if node.listens():
            return "it did not wait for its disk"
        node.process.send_signal(signal.SIGHUP)
        node.process.send_signal(signal.SIGTERM)
        status = node.ended()
        if status != 0:
            return "it ended with %s" % status


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
    "a fatal signal leaves a line with what was in use": fatal_signal_is_told,
    "limits and use are shown": limits_are_shown,
}


def main(build):
    program, failed = platform_program(build), 0
    for name, case in CASES.items():
        with tempfile.TemporaryDirectory() as folder:
            wrong = case(program, pathlib.Path(folder))
        if wrong:
            failed += 1
            print("process_limits_test: %s: %s" % (name, wrong))
    print("process_limits_test: %d passed, %d failed" % (len(CASES) - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1] if len(sys.argv) > 1 else "build"))
