"""Runs clang-tidy with the checks of .clang-tidy over FOLDERS; exits with 1 on a finding.

The compile commands come from a fresh configuration, because clang-tidy cannot use another compiler's precompiled
headers.
Usage: tidy.py [--jobs N] [--limit SECONDS] [FOLDER...]
"""

import argparse
import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import time

# Functions over 40 lines that wait to be split: a new one fails the check, and so does a listed one that is gone.
KNOWN_LONG = {
    "source/control/weights_controller.cpp: step_partition",
}
FINDING = re.compile(r"^(/[^:]+):\d+:\d+: (?:error|warning): (.*) \[[^\]]+\]$")
TOO_LONG = re.compile(r"function '([^']+)' exceeds recommended size")
ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDERS = ("source/base", "source/membership", "source/consensus", "source/control", "source/request", "platform")


def configure(folder):
    command = ["cmake", "-S", str(ROOT), "-B", folder, "-G", "Ninja"]
    command += ["-DDOCKROCK_TESTS=OFF", "-DCMAKE_EXPORT_COMPILE_COMMANDS=ON"]
    subprocess.run(command, check=True, capture_output=True)


def run(path, folder, limit):
    """The output of clang-tidy for one file, and whether it finished within the limit."""
    command = ["clang-tidy", "--quiet", "-p", folder, str(path)]
    try:
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=limit)
    except subprocess.TimeoutExpired:
        return "", False
    return done.stdout, True


def parse_findings(printed, known=frozenset(KNOWN_LONG), root=ROOT):
    """The distinct findings in clang-tidy's output, and the known long functions that were found."""
    bad, seen = set(), set()
    for line in printed.splitlines():
        found = FINDING.match(line)
        if not found:
            continue
        path = os.path.relpath(found[1], root)
        long = TOO_LONG.match(found[2])
        name = "%s: %s" % (path, long[1]) if long else None
        if name in known:
            seen.add(name)
        else:
            bad.add(line)
    return bad, seen


def main(words):
    parser = argparse.ArgumentParser()
    parser.add_argument("--jobs", type=int, default=os.cpu_count())
    parser.add_argument("--limit", type=float, default=600, help="seconds for one file")
    parser.add_argument("folders", nargs="*", default=FOLDERS)
    options = parser.parse_args(words)
    files = [path for folder in options.folders for path in sorted((ROOT / folder).rglob("*.cpp"))]
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        configure(folder)
        with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
            results = list(pool.map(lambda path: run(path, folder, options.limit), files))
    bad, seen = parse_findings("\n".join(printed for printed, _ in results))
    bad |= {"%s: timed out" % path for path, (_, ended) in zip(files, results) if not ended}
    checked = tuple(str(folder) + "/" for folder in options.folders)
    bad |= {"%s is short now: remove it from the list" % name for name in KNOWN_LONG - seen if name.startswith(checked)}
    for item in sorted(bad):
        print(item)
    state = "clean" if not bad else "%d findings" % len(bad)
    seconds = time.monotonic() - began
    print("clang-tidy: %s (%d files in %.0f s, %d known long functions)" % (state, len(files), seconds, len(seen)))
    return 1 if bad or not files else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
