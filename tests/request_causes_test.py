"""Tests scripts/request_causes.py, which attributes lost worth to causes from nodes' logs."""

import io
import json
import pathlib
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

import request_causes  # noqa: E402
import request_lines  # noqa: E402

WORTHS = {1000: (2.0, 0.6), 120: (1.0, 0.3)}
MS = 1000


def line(**changed):
    told = {
        "time_microseconds": 50_000_000,
        "event": "request",
        "service": "large",
        "target_microseconds": 1000 * MS,
        "pause_limit_microseconds": 300 * MS,
        "prompt_tokens": 10_000,
        "output_tokens": 40,
        "waited_microseconds": 0,
        "sent_microseconds": 0,
        "first_output_microseconds": 200 * MS,
        "longest_pause_microseconds": 50 * MS,
        "ended_microseconds": 400 * MS,
        "tries": 1,
        "failure": "",
        "outcome": "finished",
        "replica": "r1",
        "kept_tokens": 0,
        "best_kept_tokens": 0,
        "moved_tokens": 0,
        "tokens_to_read": 10_000,
        "outstanding_tokens": 0,
        "running": 1,
        "held_by": "",
    }
    told.update(changed)
    return "edge-1 | " + json.dumps(told, separators=(",", ":")) + "\n"


def calm(count=60):
    """Requests with the first output after 100 ms plus 0.02 ms per token."""
    return [
        line(tokens_to_read=200 * number, first_output_microseconds=100 * MS + 200 * number * 20)
        for number in range(count)
    ]


def causes(*lines):
    requests, _ = request_lines.read_requests(calm() + list(lines))
    rows, owed, lost, _ = request_causes.table_of(requests, WORTHS)
    return {row[0]: (row[1], row[2]) for row in rows}, owed, lost


class Causes(unittest.TestCase):
    def test_each_late_or_failed_request_has_one_cause_and_the_sums_add_up(self):
        found, _, lost = causes(
            line(first_output_microseconds=1200 * MS, tokens_to_read=55_000),
            line(first_output_microseconds=1200 * MS, tokens_to_read=55_000, best_kept_tokens=50_000),
            line(first_output_microseconds=1500 * MS, tokens_to_read=1_000, outstanding_tokens=60_000),
            line(first_output_microseconds=1500 * MS, tokens_to_read=1_000),
            line(first_output_microseconds=1300 * MS, sent_microseconds=1000 * MS, held_by="busy"),
            line(longest_pause_microseconds=301 * MS),
            line(tries=2, first_output_microseconds=1100 * MS),
            line(outcome="answer-failure", failure="replica-failed", first_output_microseconds=-1),
            line(outcome="answer-shed: deadline", tries=0, first_output_microseconds=-1, held_by="memory"),
            line(outcome="caller-gone", first_output_microseconds=-1, outstanding_tokens=200_000),
        )
        self.assertEqual(
            set(found),
            {
                "late: own prompt read",
                "late: prompt read though kept elsewhere",
                "late: waited at the replica, work was known",
                "late: waited at the replica, work was not known",
                "late: waited at the node for busy",
                "late: pause between outputs",
                "late: an earlier try failed",
                "failed at the replica: replica-failed",
                "refused by the node: deadline, held by memory",
                "client left: waited at the replica, work was known",
            },
        )
        self.assertTrue(all(count == 1 for count, _ in found.values()))
        self.assertAlmostEqual(sum(worth for _, worth in found.values()), lost)

    def test_what_was_served_in_time_lost_nothing(self):
        found, owed, lost = causes()
        self.assertEqual((found, lost), ({}, 0))
        self.assertAlmostEqual(owed, 2.0 * 60)  # sizes are alike: the mean of the kind

    def test_an_answer_that_was_cut_is_not_in_time_though_it_began_early(self):
        found, _, lost = causes(line(outcome="finished", failure="replica-broke"))
        self.assertEqual(list(found), ["failed at the replica: replica-broke"])
        self.assertAlmostEqual(lost, 2.0)

    def test_worth_lost_is_told_by_the_second_of_arrival(self):
        requests, _ = request_lines.read_requests(
            calm(1) + [line(time_microseconds=55_000_000, first_output_microseconds=1100 * MS)]
        )
        lost = request_causes.lost_by_second(requests, WORTHS, 2)
        self.assertEqual([round(value, 1) for value in lost], [0, 0, 1.4])

    def test_cut_and_damaged_lines_are_counted_and_lose_nothing_else(self):
        requests, damaged = request_lines.read_requests([line()[:200], line(), line().replace("0", "x"), "other\n"])
        self.assertEqual((len(requests), damaged), (1, 2))
        out = io.StringIO()
        request_causes.write_table(requests, damaged, WORTHS, 2, out)
        self.assertIn("2 lines were cut or damaged", out.getvalue())

    def test_bad_words_and_empty_logs_end_with_a_clear_error(self):
        script = [sys.executable, str(ROOT / "scripts" / "request_causes.py")]
        for words, told in ((["--worth", "1000=2"], "MS=IN_TIME,LATE"), (["nowhere.log"], "nowhere.log: No such file")):
            ran = subprocess.run(script + words, capture_output=True, text=True, stdin=subprocess.DEVNULL)
            self.assertNotEqual(ran.returncode, 0)
            self.assertIn(told, ran.stderr)
        ran = subprocess.run(script, capture_output=True, text=True, input="nothing here\n")
        self.assertNotEqual(ran.returncode, 0)
        self.assertIn("no request lines found", ran.stderr)


if __name__ == "__main__":
    unittest.main()
