"""Tests scripts/compare_runs.py, the comparison of measured days."""

import io
import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

import compare_runs  # noqa: E402


def entry(folder, name, *days):
    path = pathlib.Path(folder) / name
    told = {"site": "north", "days": [{"name": day, "seed": seed, "score": score} for day, seed, score in days]}
    path.write_text(json.dumps(told))
    return str(path)


class Verdicts(unittest.TestCase):
    def test_better_and_worse_need_three_pairs_beyond_noise_that_agree(self):
        for differences, verdict in (
            ([0.2, 0.1], "too few pairs"),
            ([0.2, 0.1, 0.04], "better"),
            ([-0.2, -0.1, -0.04], "worse"),
            ([0.02, 0.03, 0.01], "noise"),
            ([0.2, 0.1, -0.1], "noise"),
            ([0.2, 0.1, 0.3, -0.1], "better"),
        ):
            self.assertEqual(compare_runs.verdict_of(differences), verdict, differences)


class Pairs(unittest.TestCase):
    def test_days_are_paired_by_site_name_and_seed_and_repeated_plays_count_by_their_mean(self):
        with tempfile.TemporaryDirectory() as folder:
            before = [entry(folder, "a", ("quiet", 1, 0.5), ("busy", 2, 0.4), ("drawn", None, 0.9))]
            before.append(entry(folder, "b", ("quiet", 1, 0.7)))
            after = [entry(folder, "c", ("quiet", 1, 0.9), ("busy", 3, 0.4))]
            pairs, alone = compare_runs.pairs_of(compare_runs.read_side(before), compare_runs.read_side(after))
        self.assertEqual(len(pairs), 1)
        self.assertEqual(pairs[0][0], ("north", "quiet", 1))
        self.assertAlmostEqual(pairs[0][1], 0.6)
        self.assertEqual(alone, 2)
        out = io.StringIO()
        compare_runs.write_table(pairs, alone, 0.03, out)
        self.assertIn("north quiet (seed 1): 0.600 -> 0.900, +0.300", out.getvalue())
        self.assertIn("too few pairs", out.getvalue())
        self.assertIn("2 days were run on one side only", out.getvalue())


class Errors(unittest.TestCase):
    def test_cut_and_foreign_files_end_with_a_clear_error_and_stay_as_they_are(self):
        with tempfile.TemporaryDirectory() as folder:
            good = entry(folder, "good", ("quiet", 1, 0.5))
            cut = pathlib.Path(folder) / "cut"
            cut.write_text(pathlib.Path(good).read_text()[:40])
            foreign = pathlib.Path(folder) / "foreign"
            foreign.write_text("[1]")
            other = entry(folder, "other", ("quiet", 2, 0.5))
            half = pathlib.Path(folder) / "half"
            half.write_text('{"site": "north", "days": [{"name": "quiet"}]}')
            for path, told in (
                (cut, "is cut or damaged"),
                (foreign, "has no list of days"),
                (half, "a day without 'seed'"),
                (pathlib.Path(folder) / "none", "No such file"),
                (other, "no day was run on both sides"),
            ):
                ran = subprocess.run(
                    [sys.executable, str(ROOT / "scripts" / "compare_runs.py"), "--before", good, "--after", str(path)],
                    capture_output=True, text=True)
                self.assertEqual(ran.returncode, 1)
                self.assertIn(told, ran.stderr)
            self.assertEqual(len(cut.read_text()), 40)


if __name__ == "__main__":
    unittest.main()
