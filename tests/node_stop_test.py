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
UNDER_WAY_S = 0.5  # of frames, before the end
SIGNALS = {"told once": [0.0], "told in series": [0.0, 0.2, 0.3, 1.5]}  # seconds from the first one
GREETING = b"\0SP\0\0\x50\0\0"  # of a sender, in the messaging library's protocol over TCP
FRAMES = (struct.pack(">Q", 8) + b"no frame") * 500


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
    return address, run(program, pathlib.Path(folder), edge_settings("edge-%d" % number, address))


def run(program, folder, settings, **environment):
    path = folder / ("settings-%d.toml" % len(list(folder.iterdir())))
    path.write_text(settings)
    return subprocess.Popen(
        [program, "--log-level", "failure"],
        env={**os.environ, "DOCKROCK_NODE_FILE": str(path), **environment},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
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


def statuses(processes, began):
    """The status of each, "still there" where it hasn't ended within `graceS`."""
    found = []
    for process in processes:
        try:
            found.append(process.wait(max(0.0, began + GRACE_S - time.monotonic())))
        except subprocess.TimeoutExpired:
            found.append("still there")
            process.kill()
            process.wait()
    return found


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
        return found


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


def main(build):
    program = platform_program(build)
    wrong = 0
    status = stopped_while_disk_hangs(program, pathlib.Path(build).resolve() / "libdockrock-fault-shim.so")
    if status != 0:
        print("node_stop_test: its disk hangs: ended with %s" % status)
        wrong += 1
    for name, moments in SIGNALS.items():
        for number in range(ROUNDS):
            bad = [status for status in stopped(program, moments) if status != 0]
            if bad:
                print("node_stop_test: %s, round %d: %d of %d ended with %s" % (name, number, len(bad), NODES, bad))
            wrong += len(bad)
    count = NODES * ROUNDS * len(SIGNALS) + 1
    print("node_stop_test: %d passed, %d failed" % (count - wrong, wrong))
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1] if len(sys.argv) > 1 else "build"))
