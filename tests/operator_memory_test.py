"""Core nodes stay within their memory limit while eight operators change a document close to the maximum size."""

import json
import pathlib
import shutil
import sys
import tempfile
import threading
import time
from collections import Counter

sys.path[:0] = [str(pathlib.Path(__file__).resolve().parent / "platform")]

from day import CONTROL, RAM_MB, Day, call, wait_until  # noqa: E402
from day_requests import configuration  # noqa: E402

NET, EDGES, CORES = 136, 1, 4
OPERATORS, AT_WORK_S, ANSWER_LIMIT_S = 8, 8.0, 8
DOCUMENT_BYTES = 4_000_000


def document(day, version):
    """A configuration of that size, by its number of routes."""
    whole = configuration(day, version)
    more = [{**whole["routes"][2], "name": "r%d-%%05d" % version, "pfx": "/r%d-%%05d/" % version}]
    size = len(json.dumps(more[0])) + 2
    count = (DOCUMENT_BYTES - len(json.dumps(whole))) // size
    route = json.dumps(more[0])
    whole["routes"] += [json.loads(route % (number, number)) for number in range(count)]
    return json.dumps(whole).encode()


class Operators:
    def __init__(self, day):
        self.day, self.version, self.answers, self.lock = day, 1, Counter(), threading.Lock()
        self.until = time.monotonic() + AT_WORK_S

    def ask(self, number, method, *more):
        address = self.day.address(self.day.cores[number % CORES], CONTROL)
        status, _, text = call(address, method, "/-/config", *more, timeout=ANSWER_LIMIT_S)
        with self.lock:
            self.answers[status] += 1
        return status, text

    def read(self, number):
        while time.monotonic() < self.until:
            self.ask(number, "GET")

    def change(self, number):
        while time.monotonic() < self.until:
            with self.lock:
                base = self.version
            fresh = base + 1 + number
            status, _ = self.ask(number, "PUT", document(self.day, fresh), {"If-Match": str(base)})
            newest = fresh
            if status == 412:
                found, text = self.ask(number, "GET")
                newest = json.loads(text)["ver"] if found == 200 else base
            with self.lock:
                self.version = max(self.version, newest if status in (200, 412) else base)

    def work(self, what):
        threads = [threading.Thread(target=what, args=(number,)) for number in range(OPERATORS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()


def peak(process):
    """Megabytes, resident."""
    status = pathlib.Path("/proc/%d/status" % process.handle.pid).read_text()
    return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM:")) * 1024 / 1e6


def wrong_with(day, operators):
    ended = [name for name in day.cores if not day.processes[name].running()]
    if ended:
        return "ended: %s" % ended
    if operators.answers[200] == 0:
        return "answers %s" % dict(operators.answers)
    peaks = {name: round(peak(day.processes[name])) for name in day.cores}
    over = {name: megabytes for name, megabytes in peaks.items() if megabytes > RAM_MB}
    if over:
        return "megabytes at the peak %s, %d are allowed" % (over, RAM_MB)


def play(build, work):
    folder = tempfile.mkdtemp()
    day = Day(pathlib.Path(folder) / "day", build, NET, EDGES, CORES)
    try:
        day.start(configuration(day, 1))
        first, body = day.address(day.cores[0], CONTROL), document(day, 2)
        wait_until(lambda: call(first, "PUT", "/-/config", body, {"If-Match": "1"})[0] == 200, 20, "a large document")
        operators = Operators(day)
        operators.version = 2
        operators.work(getattr(operators, work))
        return wrong_with(day, operators)
    finally:
        day.stop()
        shutil.rmtree(folder)


CASES = {"eight operators who read it": "read", "eight operators who change it": "change"}


def main():
    build, failed = sys.argv[1] if len(sys.argv) > 1 else "build", 0
    for name, work in CASES.items():
        wrong = play(build, work)
        if wrong:
            failed += 1
            print("operator_memory_test: %s: %s" % (name, wrong))
    print("operator_memory_test: %d passed, %d failed" % (len(CASES) - failed, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
