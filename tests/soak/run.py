"""One soak: a fleet started, its course played while operators and callers are at work, then its verdict."""

import copy
import json
import threading
import time
import traceback

from course import draw
from day import BOUNDS, FRONT
from day_requests import configuration
from soak_fleet import Fleet
from long_bodies import LongBodies
from operators import Operators
from touch import clock, planned_stops, spans
from troubles import Troubles
from soak_verdict import judge
from watch import Watch

OPERATOR_LIMIT = 8000  # milliseconds until an operator gives up
TROUBLE_LIMIT = 40  # seconds for a trouble to be over, past its time
SERVED_AGAIN, WINDOW = 0.25, 1.0
LAST_READS = 3


class Run:
    def __init__(self, folder, options, seed, node=None):
        self.options, self.seed, self.timeline = options, seed, []
        self.course = draw(seed, options.shape, options.seconds)
        self.fleet = Fleet(folder, options, node)
        self.operators = Operators(self.fleet, seed, options.shape)
        self.watch = Watch(self.fleet)
        self.bodies = LongBodies(self.fleet, seed)
        self.over, self.recovered_after, self.failures = threading.Event(), None, []

    def note(self, trouble, began, whom):
        line = {**trouble, "began": began, "ended": clock(), "whom": whom}
        self.timeline.append(line)

    def one_trouble(self, troubles, trouble):
        began = clock()
        try:
            whom = troubles.play(trouble, self.over.wait)
        except Exception as failure:  # told in the verdict: the course was not played as drawn
            places = ["%s:%d" % (frame.name, frame.lineno) for frame in traceback.extract_tb(failure.__traceback__)]
            self.failures.append("%s: %s at %s" % (trouble["kind"], failure, " ".join(places)))
            whom = None
        self.note(trouble, began, whom)

    def play(self):
        troubles, threads = Troubles(self.fleet), []
        start = time.monotonic()
        for trouble in self.course:
            self.over.wait(max(0.0, start + trouble["at"] - time.monotonic()))
            threads.append(threading.Thread(target=self.one_trouble, args=(troubles, trouble), daemon=True))
            threads[-1].start()
        self.over.wait(max(0.0, start + self.options.seconds - time.monotonic()))
        self.over.set()
        for thread in threads:
            thread.join(TROUBLE_LIMIT)
            if thread.is_alive():
                self.failures.append("a trouble did not end")

    def ended_counts(self):
        counts = self.fleet.do("counts")[1]
        return counts.get("served", 0), sum(counts.get(name, 0) for name in ("served", "refused", "denied", "failed"))

    def recover(self):
        """How long after the last trouble a quarter of what is asked is served again."""
        began = time.monotonic()
        served, ended = self.ended_counts()
        while time.monotonic() - began < BOUNDS["recoverS"] + 2 * WINDOW:
            time.sleep(WINDOW)
            served_now, ended_now = self.ended_counts()
            if ended_now - ended >= 5 and (served_now - served) >= SERVED_AGAIN * (ended_now - ended):
                self.recovered_after = round(time.monotonic() - began, 1)
                return
            served, ended = served_now, ended_now

    def finish(self):
        self.recover()
        self.operators.stop()
        self.bodies.stop()
        for _ in range(LAST_READS):
            self.fleet.do("read", limitMs=int(1000 * BOUNDS["recoverS"]))
        self.fleet.traffic(seconds=0)
        try:
            self.fleet.settle()
        except TimeoutError:
            self.failures.append("callers still waited 30 s after the last request")
        self.watch.stop()
        self.fleet.metrics.look()

    def whole(self):
        """The lines of its verdict, and what it saw."""
        fleet = self.fleet
        try:
            fleet.start(copy.deepcopy(configuration(fleet, 1)))
            fleet.do("operator", limitMs=OPERATOR_LIMIT)
            fleet.traffic()
            self.watch.start()
            self.operators.start()
            if getattr(self.options, "long_bodies", False):
                self.bodies.start()
            self.play()
            self.finish()
            told = spans(fleet.ledger.harms, fleet.cores, fleet.edges, BOUNDS["contactMs"])
            told |= planned_stops(fleet.ledger.harms, BOUNDS["contactMs"], 1000 * BOUNDS["graceS"])
            for span in told["away"] + told["apart"] + told["stops"]:
                if span["node"] != "*":
                    span["node"] = fleet.address(span["node"], FRONT)
            fleet.do("spans", **told)
            self.failures += self.operators.failures
            lines, seen = judge(self)
            self.keep(lines, seen)
            return lines, seen
        finally:
            self.over.set()
            self.operators.ended.set()
            self.bodies.ended.set()
            self.watch.ended.set()
            fleet.stop()

    def keep(self, lines, seen):
        kept = {"timeline": self.timeline, "harms": self.fleet.ledger.harms, "began": self.fleet.began,
                "operators": self.fleet.do("operators")[1]["list"], "stalls": self.watch.stalls,
                "lines": lines, "seen": seen}  # fmt: skip
        (self.fleet.folder / "soak.json").write_text(json.dumps(kept, indent=1))


