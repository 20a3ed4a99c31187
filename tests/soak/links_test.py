"""Cut links under test, with real sockets: what is sent hangs and comes once the link is well; nothing is reset.

    python3 tests/soak/links_test.py BUILD"""

import os
import pathlib
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from links import Links, both_ways, one_way
from paths import ROOT

IPS = {"one": "127.1.251.1", "two": "127.1.251.2"}
PORT = 7360
HELD, HEALED = 0.8, 8.0  # seconds: nothing came; repeats have come through
# Says what it does line by line: listens, or dials and sends what it is told to; echoes what it receives.
PROGRAM = """
import socket, sys, threading
def receive(connection):
    while True:
        data = connection.recv(100)
        print("got " + data.decode() if data else "end", flush=True)
        if not data: return
own, other = sys.argv[1:3]
if own.endswith(".2"):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((own, %d)); listener.listen()
    print("ready", flush=True)
    kept = []
    def accept():
        while True:
            kept.append(listener.accept()); print("from " + kept[-1][1][0], flush=True)
            threading.Thread(target=receive, args=(kept[-1][0],), daemon=True).start()
    threading.Thread(target=accept, daemon=True).start()
    for line in sys.stdin: kept[0][0].send(line.strip().encode())
else:
    print("ready", flush=True)
    for line in sys.stdin:
        if line.startswith("dial"):
            connection = socket.socket(); connection.settimeout(0.8)
            try:
                connection.connect((other, %d)); connection.settimeout(None); print("connected", flush=True)
                threading.Thread(target=receive, args=(connection,), daemon=True).start()
            except TimeoutError: print("hangs", flush=True)
        else: connection.send(line.strip().encode())
""" % (PORT, PORT)


class Peer:
    def __init__(self, name, folder, links, build):
        other = next(ip for known, ip in IPS.items() if known != name)
        environment = {**os.environ, "LD_PRELOAD": str(ROOT / build / "libdockrock-links-shim.so"),
                       "DOCKROCK_LINKS_IP": IPS[name], "DOCKROCK_LINKS_FILE": str(links.path(name))}  # fmt: skip
        self.output = folder / (name + ".out")
        self.process = subprocess.Popen(
            [sys.executable, "-c", PROGRAM, IPS[name], other], stdin=subprocess.PIPE, text=True, env=environment,
            stdout=open(self.output, "w"), stderr=subprocess.STDOUT,
        )  # fmt: skip

    def say(self, line):
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()

    def lines(self):
        return self.output.read_text().splitlines()

    def sees(self, line, limit):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if line in self.lines():
                return True
            time.sleep(0.02)
        return False


def check(what, kept):
    print("%s: %s" % (what, "held" if kept else "BROKEN"))
    return bool(kept)


def followed(links):
    return all([links.in_force(name) for name in IPS])


def play(one, two, links):
    one.say("dial")
    yield "a connection comes from its node's own address", two.sees("from " + IPS["one"], 5)
    links.put("cut", both_ways(["one"], ["two"]))
    yield "both follow the cut", followed(links)
    one.say("held")
    yield "what is sent into a cut does not come", not two.sees("got held", HELD)
    yield "and nothing is reset", "end" not in one.lines() + two.lines()
    links.heal("cut")
    yield "it comes once the link is well", two.sees("got held", HEALED)
    links.put("one way", one_way(["two"], ["one"]))
    yield "both follow the cut one way", followed(links)
    one.say("forth")
    yield "one way cut, the other carries", two.sees("got forth", HEALED)
    two.say("back")
    yield "and the cut one does not", not one.sees("got back", HELD)
    links.heal("one way")
    yield "until it is well", one.sees("got back", HEALED)
    links.put("cut", one_way(["one"], ["two"]))
    yield "both follow the cut the other way", followed(links)
    one.say("dial")
    yield "a new connection into a cut hangs", one.sees("hangs", 5)


def main():
    build = sys.argv[1] if len(sys.argv) > 1 else "build"
    folder = pathlib.Path(tempfile.mkdtemp(prefix="dockrock-links-"))
    links = Links(folder, IPS)
    two = Peer("two", folder, links, build)
    one = Peer("one", folder, links, build)
    try:
        kept = [check("both start", two.sees("ready", 10) and one.sees("ready", 10))]
        kept += [check(*line) for line in play(one, two, links)]
    finally:
        for peer in (one, two):
            peer.process.kill()
            peer.process.wait()
    return 0 if all(kept) else 1


if __name__ == "__main__":
    sys.exit(main())
