"""Tests how scripts/tidy.py parses findings, and that clang-tidy reports planted violations of .clang-tidy."""

import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "scripts"))
import tidy

LONG = "/root/source/a.cpp:3:6: error: function 'far' exceeds recommended size/complexity thresholds [readability-x,-y]"
OTHER = "/root/source/a.cpp:9:1: error: use after move [bugprone-use-after-move,-warnings-as-errors]"

bad, seen = tidy.parse_findings("\n".join([LONG, LONG, OTHER, "a note"]), {"source/a.cpp: far"}, "/root")
assert bad == {OTHER} and seen == {"source/a.cpp: far"}, (bad, seen)
bad, seen = tidy.parse_findings(LONG, {"source/a.cpp: near"}, "/root")
assert bad == {LONG} and seen == set(), (bad, seen)

PLANTED = """
#include <string>
#include <utility>
auto twice(std::string text) -> std::string {
    auto first = std::move(text);
    return first + text;
}
auto long_one(int number) -> int {
%s    return number;
}
"""
with tempfile.TemporaryDirectory() as folder:
    source = pathlib.Path(folder, "planted.cpp")
    source.write_text(PLANTED % ("    ++number;\n" * 45))
    command = ["clang-tidy", "--quiet", "--config-file=%s" % (ROOT / ".clang-tidy"), str(source), "--", "-std=c++20"]
    done = subprocess.run(command, capture_output=True, text=True)
    bad, _ = tidy.parse_findings(done.stdout, frozenset(), folder)
    assert done.returncode != 0
    for words in ("bugprone-use-after-move", "function 'long_one' exceeds"):
        assert any(words in line for line in bad), (words, done.stdout, done.stderr)
print("clang-tidy check: planted violations found")
