"""A node that is told to end does so with status 0 within `graceS`: while frames come in without a pause, when it is
told again meanwhile, and while its disk hangs."""

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
SENDERS = 2  # to each node
START_LIMIT_S = 10
STALL_LOOK_S, STALL_S = 0.05, 2.0
TRIES = 3
LAST_LINES = 3
UNDER_WAY_S = 0.5  # of frames, before the end
SIGNALS = {"told once": [0.0], "told in series": [0.0, 0.2, 0.3, 1.5]}  # seconds from the first one
GREETING = b"\0SP\0\0\x50\0\0"  # of a sender, in the messaging library's protocol over TCP
FRAMES = (struct.pack(">Q", 8) + b"no frame") * 500


class MachineStalls:
    """Whether the machine itself stood still: a thread on each processor wakes often, and tells how late it did."""

    def __init__(self):
        self.seconds, self.over = [], threading.Event()
        self.threads = [
            threading.Thread(target=self.look, args=(processor,), daemon=True) for processor in os.sched_getaffinity(0)
        ]
        for thread in self.threads:
            thread.start()

    def look(self, processor):
        os.sched_setaffinity(threading.get_native_id(), {processor})
        before = time.monotonic()
        while not self.over.wait(STALL_LOOK_S):
            now = time.monotonic()
            if now - before > STALL_S:
                self.seconds.append(round(now - before, 1))
            before = now

    def end(self):
        """Seconds of each stall; a processor on which its thread does not even come to its end stands still as well."""
        self.over.set()
        for thread in self.threads:
            thread.join(STALL_S)
        self.seconds += [STALL_S for thread in self.threads if thread.is_alive()]
        return self.seconds


def send_frames(address, over):
    """Sends frames that are none of ours, until the node is gone or the round is over."""
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
    """What each thread waits in, and its processor time so far in ticks, where the system tells."""
    found = []
    for task in sorted(pathlib.Path("/proc/%d/task" % process.pid).iterdir()):
        try:
            words = (task / "stat").read_text().rsplit(")", 1)[1].split()
            found.append("%s %s %s" % ((task / "comm").read_text().strip(), words[0], int(words[11]) + int(words[12])))
        except OSError:
            continue  # it has ended meanwhile
    return found


def statuses(processes, began):
    """The status of each, "still there" with what its threads are at where it hasn't ended within `graceS`."""
    found = []
    for process in processes:
        try:
            found.append(process.wait(max(0.0, began + GRACE_S - time.monotonic())))
        except subprocess.TimeoutExpired:
            found.append("still there: %s" % threads_of(process))
            process.kill()
            process.wait()
    return found


def last_words(folder, number):
    """The end of a node's log."""
    log = pathlib.Path(folder) / str(number) / "settings.log"
    return log.read_text(errors="replace").splitlines()[-LAST_LINES:]


def stopped(program, moments):
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
        found = statuses(processes, tell(processes, moments))
        over.set()
        for sender in senders:
            sender.join()
        return [
            (status, [] if status == 0 else last_words(folder, number)) for number, status in enumerate(found)
        ]


def stopped_while_disk_hangs(program, shim):
    """The status of a core node whose syncs never return."""
    with tempfile.TemporaryDirectory() as made:
        folder, address = pathlib.Path(made), "127.9.7.200"
        data, faults = folder / "core-data", folder / "faults"
        data.mkdir()
        faults.write_text("stall\n")
        settings = core_settings("core-1", address, data)
        process = run(program, folder, settings, LD_PRELOAD=str(shim), DOCKROCK_SHIM_FILE=str(faults))
        wait_until_all_listen([address])
        return statuses([process], tell([process], SIGNALS["told once"]))[0]


def played(program, name, moments):
    """The nodes of a round that did not end as they should. One in which the machine stood still is played again."""
    for _ in range(TRIES):
        stalls = MachineStalls()
        bad = [(status, words) for status, words in stopped(program, moments) if status != 0]
        seconds = stalls.end()
        for status, words in bad:
            print("node_stop_test: %s: ended with %s; last words %s" % (name, status, words))
        if not bad or not seconds:
            break
        print("node_stop_test: %s: this machine stood still for %s s" % (name, seconds))
    return len(bad)


def main(build):
    program = platform_program(build)
    wrong = 0
    status = stopped_while_disk_hangs(program, pathlib.Path(build).resolve() / "libdockrock-fault-shim.so")
    if status != 0:
        print("node_stop_test: its disk hangs: ended with %s" % status)
        wrong += 1
    for name, moments in SIGNALS.items():
        wrong += sum(played(program, name, moments) for _ in range(ROUNDS))
    count = NODES * ROUNDS * len(SIGNALS) + 1
    print("node_stop_test: %d passed, %d failed" % (count - wrong, wrong))
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1] if len(sys.argv) > 1 else "build"))
