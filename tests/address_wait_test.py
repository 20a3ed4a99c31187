"""A node whose addresses are in use at its start waits for them, and does not touch their holder's data folder."""

import signal
import socket
import sys
import time

from node_settings import PORTS
from single_node import EDGE, Node, run_cases

HELD_S = 1.0
SOON = ("graceS = 8", "graceS = 1")


def held(port):
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((EDGE, port))
    holder.listen(1)
    return holder


def waits_for(port):
    def case(program, folder):
        holder = held(port)
        with Node(program, folder) as node:
            time.sleep(HELD_S)
            status = node.status()
            holder.close()
            if status is not None:
                return "it ended with %s while the port was taken" % status
            if not node.starts():
                return "it does not start once the port is free: " + node.told()[-200:]

    return case


def ends_when_told_as_it_waits(program, folder):
    with held(PORTS["last"]), Node(program, folder) as node:
        time.sleep(HELD_S)
        node.process.send(signal.SIGTERM)
        status = node.ended()
        if status != 0:
            return "it ended with %s" % status


def contents(folder):
    return {path.name: path.read_bytes() for path in sorted(folder.iterdir())}


def leaves_the_folder_of_a_living_node(program, folder):
    with Node(program, folder, core=True) as first:
        if not first.starts():
            return "the first one does not start: " + first.told()
        time.sleep(HELD_S)
        before = contents(folder / "data")
        with Node(program, folder, core=True, changed=SOON) as second:
            status = second.ended()
        if status != 1:
            return "the second one ended with %s" % status
        if not before or contents(folder / "data") != before:
            return "the second one wrote to the folder of the first one"


CASES = {
    **{"the %s port is taken for a while" % name: waits_for(port) for name, port in PORTS.items()},
    "told to end as it waits, it ends with 0": ends_when_told_as_it_waits,
    "a second node leaves the folder of the first one": leaves_the_folder_of_a_living_node,
}


if __name__ == "__main__":
    sys.exit(run_cases("address_wait_test", CASES, sys.argv[1] if len(sys.argv) > 1 else "build"))
