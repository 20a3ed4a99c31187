"""A node that receives SIGTERM exits with status 0 within `graceS`: also while frames arrive without a pause, when the
signal is repeated, and while its disk hangs."""

import dataclasses
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

from node_settings import GRACE_S, PORTS, core_settings, edge_settings, platform_program

NODES = 8
ROUNDS = 4
SENDERS = 2  # for each node
START_LIMIT_S = 10
STALL_LOOK_S, STALL_S = 0.05, 2.0
LATE_LIMIT_S = 60
POLL_S = 0.02
LAST_LINES = 3
UNDER_WAY_S = 0.5  # of frames, before the signal
SIGNALS = {"told once": [0.0], "told in series": [0.0, 0.2, 0.3, 1.5]}  # seconds from the first one
GREETING = b"\0SP\0\0\x50\0\0"  # a sender's greeting in the messaging library's protocol over TCP
FRAMES = (struct.pack(">Q", 8) + b"no frame") * 500


@dataclasses.dataclass
class Ending:
    """How a node ended: its exit status or "still there", seconds from the first signal, threads if late."""

    status: object
    seconds: float
    threads: list


class MachineStalls:
    """Measures for how long a processor was stalled: a thread on each one wakes often and records how late it did."""

    def __init__(self):
        now, self.over = time.monotonic(), threading.Event()
        self.woken = dict.fromkeys(os.sched_getaffinity(0), now)
        self.stalled = dict.fromkeys(self.woken, 0.0)
        for processor in self.woken:
            threading.Thread(target=self.look, args=(processor,), daemon=True).start()

    def take(self, processor, now):
        late = now - self.woken[processor]
        if late > STALL_S:
            self.stalled[processor] += late

    def look(self, processor):
        os.sched_setaffinity(threading.get_native_id(), {processor})
        while not self.over.wait(STALL_LOOK_S):
            now = time.monotonic()
            self.take(processor, now)
            self.woken[processor] = now

    def end(self):
        """Seconds for which the worst processor was stalled, including a stall that still lasts."""
        self.over.set()
        now = time.monotonic()
        for processor in self.woken:
            self.take(processor, now)
        return max(self.stalled.values())


def send_frames(address, over):
    """Sends frames that are not in the nodes' format until the node is gone or the round is over."""
    while not over.is_set():
        try:
            with socket.create_connection((address, PORTS["first"]), timeout=1) as connection:
                connection.sendall(GREETING)
                while not over.is_set():
                    connection.sendall(FRAMES)
        except OSError:
            time.sleep(0.01)


def listens(address):
    try:
        socket.create_connection((address, PORTS["first"]), timeout=1).close()
    except OSError:
        return False
    return True


def start(program, folder, number):
    address = "127.9.7.%d" % (number + 1)
    return address, run(program, pathlib.Path(folder) / str(number), edge_settings("edge-%d" % number, address))


def run(program, folder, settings, **environment):
    folder.mkdir(exist_ok=True)
    path = folder / "settings.toml"
    path.write_text(settings)
    return subprocess.Popen(
        [program],
        env={**os.environ, "DOCKROCK_NODE_FILE": str(path), **environment},
        stdout=subprocess.DEVNULL,
        stderr=path.with_suffix(".log").open("w"),
    )


def wait_until_all_listen(addresses):
    limit = time.monotonic() + START_LIMIT_S
    while time.monotonic() < limit and not all(listens(address) for address in addresses):
        time.sleep(0.05)


def tell(processes, moments):
    began = time.monotonic()
    for moment in moments:
        time.sleep(max(0.0, began + moment - time.monotonic()))
        for process in processes:
            process.send_signal(signal.SIGTERM)
    return began


def threads_of(process):
    """The name, state and processor time in ticks of each thread that can still be read."""
    found = []
    for task in sorted(pathlib.Path("/proc/%d/task" % process.pid).iterdir()):
        try:
            words = (task / "stat").read_text().rsplit(")", 1)[1].split()
            found.append("%s %s %s" % ((task / "comm").read_text().strip(), words[0], int(words[11]) + int(words[12])))
        except OSError:
            continue  # the thread has ended
    return found


def endings(processes, began):
    """How each node ended. Late nodes are waited for too, to distinguish them from nodes that never end."""
    ended, at_work = {}, {}
    while len(ended) < len(processes) and time.monotonic() - began < GRACE_S + LATE_LIMIT_S:
        now = time.monotonic() - began
        for number, process in enumerate(processes):
            if number in ended:
                continue
            if process.poll() is not None:
                ended[number] = Ending(process.returncode, now, at_work.get(number, []))
            elif now > GRACE_S and number not in at_work:
                at_work[number] = threads_of(process)
        time.sleep(POLL_S)
    for number, process in enumerate(processes):
        if number not in ended:
            process.kill()
            process.wait()
            ended[number] = Ending("still there", float("inf"), at_work.get(number, []))
    return [ended[number] for number in range(len(processes))]


def wrong_endings(found, stalled):
    """The nodes that failed or ended too late. A node may be late by the stall of the worst processor, no more."""
    return {number: end for number, end in enumerate(found) if end.status != 0 or end.seconds > GRACE_S + stalled}


def last_words(folder, number):
    """The last lines of a node's log."""
    log = pathlib.Path(folder) / str(number) / "settings.log"
    return log.read_text(errors="replace").splitlines()[-LAST_LINES:]


def stopped(program, moments):
    """The number of nodes of a round that did not end correctly."""
    stalls = MachineStalls()
    with tempfile.TemporaryDirectory() as folder:
        nodes = [start(program, folder, number) for number in range(NODES)]
        wait_until_all_listen([address for address, _ in nodes])
        over = threading.Event()
        senders = [
            threading.Thread(target=send_frames, args=(address, over)) for address, _ in nodes for _ in range(SENDERS)
        ]
        for sender in senders:
            sender.start()
        time.sleep(UNDER_WAY_S)
        processes = [process for _, process in nodes]
        found = endings(processes, tell(processes, moments))
        over.set()
        for sender in senders:
            sender.join()
        wrong = wrong_endings(found, stalls.end())
        for number, end in wrong.items():
            print("node_stop_test: %s; last words %s" % (end, last_words(folder, number)))
        return len(wrong)


def stopped_while_disk_hangs(program, shim):
    """Whether a core node whose syncs never return failed to end correctly."""
    stalls = MachineStalls()
    with tempfile.TemporaryDirectory() as made:
        folder, address = pathlib.Path(made), "127.9.7.200"
        data, faults = folder / "core-data", folder / "faults"
        data.mkdir()
        faults.write_text("stall\n")
        settings = core_settings("core-1", address, data)
        process = run(program, folder, settings, LD_PRELOAD=str(shim), DOCKROCK_SHIM_FILE=str(faults))
        wait_until_all_listen([address])
        wrong = wrong_endings(endings([process], tell([process], SIGNALS["told once"])), stalls.end())
        for end in wrong.values():
            print("node_stop_test: its disk hangs: %s" % end)
        return len(wrong)


def main(build):
    program = platform_program(build)
    wrong = stopped_while_disk_hangs(program, pathlib.Path(build).resolve() / "libdockrock-fault-shim.so")
    for name, moments in SIGNALS.items():
        of_kind = sum(stopped(program, moments) for _ in range(ROUNDS))
        print("node_stop_test: %s: %d of %d wrong" % (name, of_kind, NODES * ROUNDS))
        wrong += of_kind
    count = NODES * ROUNDS * len(SIGNALS) + 1
    print("node_stop_test: %d passed, %d failed" % (count - wrong, wrong))
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1] if len(sys.argv) > 1 else "build"))
