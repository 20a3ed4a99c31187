"""Scenarios of what may happen between a request and its answer: docs/requests.md has the table."""

from day import wait_for
from day_requests import HOST, kinds
from day_scenarios import traffic

ONCE, AGAIN = "/write/x", "/read/x?y=1"


def faults(day, **shares):
    day.do("faults", **shares)


def served(day, path):
    outcomes = day.do("counts")[1]["paths"].get(path, {})
    return outcomes.get("served", 0) / max(1, sum(outcomes.values()))


def seen(day, name, least=1):
    count = day.do("counts")[1][name]
    day.expect("%s came about" % name, count >= least, count)


def finish(day, path=AGAIN, least=0.9):
    day.settle()
    day.expect("requests on %s are served" % path, served(day, path) > least, served(day, path))


def idle_reuse(day, seconds):
    """Replicas forget connections that have rested a while; what comes on them is reset."""
    traffic(day, seconds, rate=12)
    faults(day, forget=1.0, restedMs=150)
    wait_for(seconds)
    seen(day, "forgotten")
    finish(day)
    finish(day, ONCE, least=0.7)  # the first are lost; then connections don't rest that long


def reset_midway(day, seconds):
    """Requests run, and their answers are lost: reset before the head, cut in the middle."""
    traffic(day, seconds)
    faults(day, reset=0.1, cut=0.1)
    wait_for(seconds)
    faults(day, reset=0, cut=0)
    finish(day)


def early_answer(day, seconds):
    """Long requests are turned away before they are in; their connections are read on later."""
    long = [
        {"type": "mutating", "host": HOST, "path": "/write/long", "body": 200000},
        {"type": "idem", "host": HOST, "method": "POST", "path": "/read/long", "body": 300000},
    ]
    faults(day, early=0.3)
    traffic(day, seconds, rate=20, kinds=kinds() + long)
    wait_for(seconds)
    seen(day, "early")
    finish(day, "/write/long")
    finish(day, "/read/long")


def late_second(day, seconds):
    """One answer more where the next one is due, on connections that are used again and again."""
    traffic(day, seconds)
    faults(day, late=0.3)
    wait_for(seconds)
    faults(day, late=0)
    finish(day)


def unframed_ends(day, seconds):
    """Answers without a length end with their connection; some are reset on the way."""
    traffic(day, seconds)
    faults(day, unframed=0.3, cut=0.1)
    wait_for(seconds)
    faults(day, unframed=0, cut=0)
    finish(day)


REQUESTS = {work.__name__: work for work in (idle_reuse, reset_midway, early_answer, late_second, unframed_ends)}
MUST_JUDGE_REQUESTS = {name: ["TWICE", "MIXED", "UNASKED"] for name in REQUESTS}
# A careless node for each rule: its fault, the scenario that brings it out, the rules it must break, and in what words.
PLANTED = {
    "planted": ("twice", "calm", {"UNASKED", "TWICE", "WALL"}, ""),
    "planted_resend": ("resend", "reset_midway", {"TWICE"}, "ran more than once"),
    "planted_promise": ("promise", "reset_midway", {"REFUSED"}, "503 and a run"),
    "planted_reuse": ("reuse", "late_second", {"MIXED"}, "the answer of"),
    "planted_smuggle": ("smuggle", "early_answer", {"UNASKED"}, "other bytes in place of its body"),
}
