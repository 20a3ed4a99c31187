#!/usr/bin/env python3
"""Tests scripts/unit_tests.sh: it ignores the failures of the tests in KNOWN-RED.txt, and no others."""

import pathlib
import subprocess
import tempfile
import unittest

RUNNER = pathlib.Path(__file__).resolve().parent.parent / "scripts" / "unit_tests.sh"
# Imitates a Catch2 test program: it can list its tests, run all except some, or run one.
PROGRAM = """#!/usr/bin/env python3
import re, sys
red = %r
names = ["adds up", "is red", "is red too", "ends alone"]
alone = ["ends alone"]
if "--list-test-names-only" in sys.argv:
    print("\\n".join(alone if "[alone]" in sys.argv else names))
    sys.exit(len(names))
spec = sys.argv[1] if len(sys.argv) > 1 else ""
left_out = re.findall(r'~"([^"]*)"', spec) + (alone if "~[alone]" in spec else [])
wanted = [name for name in names if name not in left_out] if "~" in spec else [spec.strip('"')]
if alone[0] in wanted and len(wanted) > 1:
    sys.exit(1)
print("ran", wanted)
sys.exit(any(name in red for name in wanted))
"""


def run(red, known):
    with tempfile.TemporaryDirectory() as folder:
        program = pathlib.Path(folder, "program")
        program.write_text(PROGRAM % (red,), encoding="utf-8")
        program.chmod(0o755)
        listed = pathlib.Path(folder, "KNOWN-RED.txt")
        if known is not None:
            listed.write_text("".join("%s, a cause, issue 0\n" % name for name in known), encoding="utf-8")
        return subprocess.run([RUNNER, program, listed], capture_output=True, text=True)


class Runner(unittest.TestCase):
    def test_all_green(self):
        for known in (None, []):
            self.assertEqual(run([], known).returncode, 0)

    def test_listed_red_is_printed_and_passed_over(self):
        done = run(["is red"], ["is red"])
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("KNOWN RED: is red, a cause, issue 0", done.stdout)

    def test_any_other_red_fails(self):
        self.assertNotEqual(run(["is red"], None).returncode, 0)
        self.assertNotEqual(run(["is red", "is red too"], ["is red"]).returncode, 0)
        self.assertNotEqual(run(["is red"], ["is red too"]).returncode, 0)

    def test_alone_in_a_process_of_its_own(self):
        done = run([], None)
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("ran ['ends alone']", done.stdout)
        self.assertNotEqual(run(["ends alone"], None).returncode, 0)
        self.assertEqual(run(["ends alone"], ["ends alone"]).returncode, 0)

    def test_part_of_a_name_passes_nothing_over(self):
        self.assertNotEqual(run(["is red too"], ["is red"]).returncode, 0)

    def test_listed_green_is_told(self):
        done = run([], ["is red"])
        self.assertEqual(done.returncode, 0)
        self.assertIn("green now", done.stdout)

    def test_a_live_scenario_is_none_of_them(self):
        done = run([], ["weights magnolia-junction"])
        self.assertEqual(done.returncode, 0)
        self.assertNotIn("KNOWN RED", done.stdout)


if __name__ == "__main__":
    unittest.main()
