"""A node of the platform's program that is tested alone on loopback, under limits of the kernel if any are given."""

import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent / "live"))

from node_settings import PORTS, core_settings, edge_settings, platform_program  # noqa: E402
from processes import Process, call  # noqa: E402

EDGE, CORE = "127.9.6.1", "127.9.6.2"
START_LIMIT_S, END_LIMIT_S, ASK_LIMIT_S, POLL_S = 10, 12, 2, 0.02
CAPS = "\n[caps]\nramMb = 260\nnofile = 4100\n"


class Node:
    """Started under `limits`: (resource, value) each; `changed`: a word of its settings, and what takes its place."""

    def __init__(self, program, folder, core=False, limits=(), caps=CAPS, data="data", changed=("", "")):
        name, self.address = ("core-1", CORE) if core else ("edge-1", EDGE)
        (folder / "data").mkdir(exist_ok=True)
        text = core_settings(name, CORE, folder / data) if core else edge_settings(name, EDGE)
        settings, self.log = folder / "settings.toml", folder / (name + ".out")
        settings.write_text(text.replace(*changed) + caps)
        environment = {**os.environ, "DOCKROCK_NODE_FILE": str(settings)}
        self.process = Process(name, [program], folder, environment, limits).start()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.process.end()

    def status(self):
        """Of its end; nothing where it runs."""
        return self.process.handle.poll()

    def listens(self):
        try:
            for port in (PORTS["first"], PORTS["last"]):
                socket.create_connection((self.address, port), timeout=1).close()
        except OSError:
            return False
        return True

    def starts(self):
        limit = time.monotonic() + START_LIMIT_S
        while time.monotonic() < limit and self.process.running():
            if self.listens():
                return True
            time.sleep(POLL_S)
        return False

    def ended(self):
        """Its status; nothing where it is still there."""
        try:
            return self.process.handle.wait(END_LIMIT_S)
        except subprocess.TimeoutExpired:
            return None

    def resident_peak(self):
        return self.memory("VmHWM:")

    def address_space(self):
        return self.memory("VmSize:")

    def memory(self, kind):
        """Bytes; nothing where it is gone."""
        try:
            status = pathlib.Path("/proc/%d/status" % self.process.handle.pid).read_text()
        except OSError:
            return None
        told = [line.split()[1] for line in status.splitlines() if line.startswith(kind)]
        return int(told[0]) * 1024 if told else None

    def told(self):
        return self.log.read_text(errors="replace")

    def ask(self, port, path, *body, headers=None):
        """One call at a port of its: (status, headers, text); status 0 where there was no answer."""
        method, limit = ("POST", END_LIMIT_S) if body else ("GET", ASK_LIMIT_S)
        return call("%s:%d" % (self.address, PORTS[port]), method, path, *body, headers=headers, timeout=limit)


def run_cases(test, cases, build):
    """Each case gets the program and a folder of its own, and returns what is wrong, if anything. The exit status."""
    program, failed = str(pathlib.Path(platform_program(build)).resolve()), 0
    for name, case in cases.items():
        with tempfile.TemporaryDirectory() as folder:
            wrong = case(program, pathlib.Path(folder))
        if wrong:
            failed += 1
            print("%s: %s: %s" % (test, name, wrong))
    print("%s: %d passed, %d failed" % (test, len(cases) - failed, failed))
    return 1 if failed else 0
