"""A node of the platform's program that is tested alone on loopback, under limits of the kernel if any are given."""

import http.client
import os
import pathlib
import resource
import socket
import subprocess
import tempfile
import time
import urllib.request

from node_settings import PORTS, core_settings, edge_settings, platform_program

EDGE, CORE = "127.9.6.1", "127.9.6.2"
START_LIMIT_S, END_LIMIT_S, POLL_S = 10, 12, 0.02
CAPS = "\n[caps]\nramMb = 260\nnofile = 4100\n"


class Node:
    """Started under `limits`: (resource, value) each; `changed`: a word of its settings, and what takes its place."""

    def __init__(self, program, folder, core=False, limits=(), caps=CAPS, data="data", changed=("", "")):
        self.address, self.log = CORE if core else EDGE, folder / "log"
        (folder / "data").mkdir(exist_ok=True)
        text = core_settings("core-1", CORE, folder / data) if core else edge_settings("edge-1", EDGE)
        (folder / "settings.toml").write_text(text.replace(*changed) + caps)
        with self.log.open("a") as log:
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

    def resident_peak(self):
        """Bytes; nothing where it is gone."""
        try:
            status = pathlib.Path("/proc/%d/status" % self.process.pid).read_text()
        except OSError:
            return None
        told = [line.split()[1] for line in status.splitlines() if line.startswith("VmHWM:")]
        return int(told[0]) * 1024 if told else None

    def told(self):
        return self.log.read_text(errors="replace")

    def ready_status(self):
        connection = http.client.HTTPConnection(self.address, PORTS["ready"], timeout=2)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status
        finally:
            connection.close()

    def metrics(self):
        with urllib.request.urlopen("http://%s:%d/metrics" % (self.address, PORTS["last"]), timeout=2) as answer:
            return answer.read().decode()


def run_cases(test, cases, build):
    """Each case gets the program and a folder of its own, and returns what is wrong, if anything. The exit status."""
    program, failed = platform_program(build), 0
    for name, case in cases.items():
        with tempfile.TemporaryDirectory() as folder:
            wrong = case(program, pathlib.Path(folder))
        if wrong:
            failed += 1
            print("%s: %s: %s" % (test, name, wrong))
    print("%s: %d passed, %d failed" % (test, len(cases) - failed, failed))
    return 1 if failed else 0
