"""Losses of power under test, with a real process: the shim for disks keeps what was synced, and nothing more.

    python3 tests/soak/power_test.py BUILD"""

import os
import pathlib
import random
import subprocess
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from paths import ROOT
from power import lose_unsynced

SEEDS = range(40)
# Writes what it is told to a file, syncs it at "sync", says so; it is killed.
PROGRAM = """
import os, sys
file = os.open(sys.argv[1], os.O_WRONLY | os.O_CREAT | os.O_APPEND)
for line in sys.stdin:
    if line.strip() == "sync": os.fdatasync(file)
    elif line.strip() == "empty": os.ftruncate(file, 0)
    else: os.write(file, line.strip().encode())
    print("done", flush=True)
"""


def written_by(steps, build, **environment):
    """Folders of the data and of its synced copies after a process was killed."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="dockrock-power-"))
    data, synced = folder / "node-data", folder / "node-synced"
    data.mkdir()
    synced.mkdir()
    process = subprocess.Popen(
        [sys.executable, "-c", PROGRAM, str(data / "log")], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
        env={**os.environ, "LD_PRELOAD": str(ROOT / build / "libdockrock-fault-shim.so"),
             "DOCKROCK_SHIM_SYNCED": str(synced), **environment},
    )  # fmt: skip
    for step in steps:
        process.stdin.write(step + "\n")
        process.stdin.flush()
        assert process.stdout.readline() == "done\n", step
    process.kill()
    process.wait()
    return data, synced


def synced_writes_are_copied(build):
    _, synced = written_by(["one", "sync", "two"], build)
    assert (synced / "log").read_bytes() == b"one"
    _, synced = written_by(["one", "sync", "two", "sync"], build)
    assert (synced / "log").read_bytes() == b"onetwo"
    _, synced = written_by(["one", "sync", "empty", "two"], build)
    assert (synced / "log").read_bytes() == b"one"


def what_was_never_synced_may_be_gone(build):
    _, synced = written_by(["one"], build)
    assert not list(synced.iterdir())


def a_disk_that_lies_syncs_nothing(build):
    _, synced = written_by(["one", "sync"], build, DOCKROCK_SHIM_UNSYNCED="1")
    assert not list(synced.iterdir())


def synced_writes_outlive_every_loss(build):
    data, synced = written_by(["one", "sync", "two"], build)
    whole, seen = (data / "log").read_bytes(), set()
    for seed in SEEDS:
        (data / "log").write_bytes(whole)
        (synced / "log").write_bytes(b"one")
        lose_unsynced(data, synced, random.Random(seed))
        seen.add((data / "log").read_bytes())
    assert seen == {b"one", b"onet", b"onetw", b"onetwo"}, seen


def main():
    build = sys.argv[1] if len(sys.argv) > 1 else "build"
    for test in (synced_writes_are_copied, what_was_never_synced_may_be_gone, a_disk_that_lies_syncs_nothing,
                 synced_writes_outlive_every_loss):  # fmt: skip
        test(build)
    print("losses of power: held")


main()
