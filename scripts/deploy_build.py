#!/usr/bin/env python3
"""Runs the build of deploy/system.toml in a clean copy of the sources and measures it.

The platform allows 15 minutes for the build, on a machine that may be busy. The limits are therefore the processor time
of half a core over 15 minutes, and for the peak memory half of a 16 GB machine. If the build fails or exceeds a limit,
the exit status is 1 and the output names the limit or shows the build's errors.

Usage: deploy_build.py [--root DIR] [--keep DIR] [--processor-s N] [--memory-mb N]
"""

import argparse
import os
import pathlib
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

BUILD_LIMIT_S = 15 * 60
CORE_SHARE = 0.5  # of one core, as the machine is shared
SMALLEST_MACHINE_MB = 16 * 1024
MEMORY_SHARE = 0.5
SAMPLE_S = 0.1
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 2**20
ERROR_LINES = 20


def copy_sources(root, target):
    """Copies the working tree's tracked and unignored files: the content of a clean checkout of the next commit."""
    listed = subprocess.run(
        ["git", "-C", str(root), "ls-files", "-z", "--cached", "--others", "--exclude-standard", ":!journal"],
        check=True,
        capture_output=True,
    ).stdout
    for name in filter(None, listed.decode().split("\0")):
        source = root / name
        if source.is_file():
            (target / name).parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(source, target / name)


def resident_mb(session):
    """Resident memory of all processes of a session, and that of the largest one with its name."""
    total, largest, name = 0.0, 0.0, ""
    for entry in pathlib.Path("/proc").iterdir():
        if not entry.name.isdigit():
            continue
        try:
            head, tail = (entry / "stat").read_text().rsplit(")", 1)
            if int(tail.split()[3]) != session:
                continue
            size = int((entry / "statm").read_text().split()[1]) * PAGE_MB
        except (OSError, ValueError, IndexError):
            continue  # the process has ended
        total += size
        if size > largest:
            largest, name = size, head.split("(", 1)[1]
    return total, largest, name


class MemoryWatch(threading.Thread):
    """Samples a session's memory until `ended` is set."""

    def __init__(self, session):
        super().__init__(daemon=True)
        self.session = session
        self.peak_mb = 0.0
        self.largest_mb = 0.0
        self.largest_name = ""
        self.ended = threading.Event()

    def run(self):
        while not self.ended.wait(SAMPLE_S):
            total, largest, name = resident_mb(self.session)
            self.peak_mb = max(self.peak_mb, total)
            if largest > self.largest_mb:
                self.largest_mb, self.largest_name = largest, name


def run_build(command, folder):
    """Runs the command; returns status (None: timed out), output, wall time, processor time and memory watch."""
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    began = time.monotonic()
    with tempfile.TemporaryFile() as output:
        process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=folder, stdout=output, stderr=subprocess.STDOUT, start_new_session=True
        )
        watch = MemoryWatch(process.pid)
        watch.start()
        try:
            status = process.wait(timeout=BUILD_LIMIT_S)
        except subprocess.TimeoutExpired:
            os.killpg(process.pid, signal.SIGKILL)
            process.wait()
            status = None
        watch.ended.set()
        watch.join()
        output.seek(0)
        text = output.read().decode(errors="replace")
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    processor_s = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
    return status, text, time.monotonic() - began, processor_s, watch


def problems_of(status, text, processor_s, watch, limits):
    """The problems, one line each; empty if the build succeeded within its limits."""
    problems = []
    if status is None:
        problems.append("the build did not end within %d s" % BUILD_LIMIT_S)
    elif status != 0:
        if "Killed" in text or "fatal error: " in text and "terminated program" in text:
            problems.append("a compiler was killed: no memory left on the machine")
        told = [line for line in text.splitlines() if "error" in line.lower() or "Error" in line]
        problems.append("the build ended with status %d" % status)
        problems += ["  " + line for line in (told or text.splitlines())[:ERROR_LINES]]
    if processor_s > limits.processor_s:
        problems.append("processor time %.0f s, more than %.0f s" % (processor_s, limits.processor_s))
    if watch.peak_mb > limits.memory_mb:
        problems.append("memory %.0f MB at the peak, more than %.0f MB" % (watch.peak_mb, limits.memory_mb))
    return problems


def measure(arguments):
    root = pathlib.Path(arguments.root).resolve()
    command = tomllib.loads((root / "deploy" / "system.toml").read_text())["build"]
    with tempfile.TemporaryDirectory(prefix="deploy-build-") as made:
        folder = pathlib.Path(arguments.keep or made)
        copy_sources(root, folder)
        status, text, took_s, processor_s, watch = run_build(command, folder)
    print(
        "deploy build: %.0f s of processor time, %.0f s by the clock, %.0f MB at the peak, %.0f MB the largest (%s)"
        % (processor_s, took_s, watch.peak_mb, watch.largest_mb, watch.largest_name)
    )
    problems = problems_of(status, text, processor_s, watch, arguments)
    for problem in problems:
        print("deploy build: " + problem)
    return 1 if problems else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--root", default=pathlib.Path(__file__).resolve().parent.parent)
    parser.add_argument("--keep", help="build in this folder and leave it there")
    parser.add_argument("--processor-s", type=float, default=BUILD_LIMIT_S * CORE_SHARE)
    parser.add_argument("--memory-mb", type=float, default=SMALLEST_MACHINE_MB * MEMORY_SHARE)
    return measure(parser.parse_args())


if __name__ == "__main__":
    sys.exit(main())
