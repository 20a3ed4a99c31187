"""Checks the coding rules: file and line lengths, no inheritance, no sleeps in tests, formatting."""
import pathlib
import re
import shutil
import subprocess
import sys

root = pathlib.Path(__file__).resolve().parent.parent
folders = ("source", "programs", "platform", "tests", "scripts")
# Separate processes that run in real time and so may sleep.
real_time = (root / "tests" / "stand_ins", root / "tests" / "platform" / "live")
# Beast's HTTP parser can be extended only by inheritance: allowed on one line of one file.
DERIVED_FROM_LIBRARY = {"source/connection/message_parser.hpp": "public http::basic_parser<"}
derived = dict(DERIVED_FROM_LIBRARY)
bad = []
for folder in folders:
    for path in sorted((root / folder).rglob("*")):
        if path.suffix not in (".cpp", ".hpp", ".py", ".sh"):
            continue
        lines = path.read_text().splitlines()
        bad += [
            "%s:%d is longer than 120 characters" % (path.relative_to(root), number)
            for number, line in enumerate(lines, 1)
            if len(line) > 120
        ]
        if len(lines) > 250:
            bad.append("%s has %d lines, more than 250" % (path.relative_to(root), len(lines)))
        if path.suffix in (".cpp", ".hpp"):
            for number, line in enumerate(lines, 1):
                if (
                    re.search(r"(?<!enum )\b(struct|class)\s+\w+\s*(final\s*)?:\s*(public|private|protected|\w)", line)
                    and "::type" not in line
                    and "std::true_type" not in line
                    and "std::false_type" not in line
                    and derived.pop(str(path.relative_to(root)), "\0") not in line
                ):
                    bad.append("%s:%d inherits" % (path.relative_to(root), number))
                timed = any(place in path.parents for place in real_time)
                if folder == "tests" and not timed and re.search(r"sleep", line):
                    bad.append("%s:%d sleeps" % (path.relative_to(root), number))
bad += ["%s no longer derives from the library: remove it from the list" % path for path in derived]
if shutil.which("clang-format"):
    sources = [
        str(path)
        for suffix in ("cpp", "hpp")
        for folder in folders
        for path in (root / folder).rglob("*." + suffix)
    ]
    formatted = subprocess.run(["clang-format", "--dry-run", "-Werror"] + sources, capture_output=True, text=True)
    bad += [line for line in formatted.stderr.splitlines() if "error:" in line]
else:
    bad.append("clang-format is not installed")
for item in bad:
    print(item)
print("file rules: %s" % ("kept" if not bad else "%d broken" % len(bad)))
sys.exit(1 if bad else 0)
