"""Scenarios of what may happen between a request and its answer: docs/requests.md has the table."""

from day import BOUNDS, wait_for
from day_requests import HOST, kinds
from day_scenarios import traffic

ONCE, AGAIN = "/write/x", "/read/x?y=1"
IDLE_REUSE_SECONDS = 14  # few of its requests may run once: enough of them to judge a share


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
    length = max(seconds, IDLE_REUSE_SECONDS)
    traffic(day, length, rate=12)
    faults(day, forget=1.0, restedMs=150)
    wait_for(length)
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


def spoiled_answers(day, seconds):
    """Answers that are none by the grammar, promises in them, bodies in a coding that nobody asked for."""
    traffic(day, seconds)
    faults(day, spoiled=0.1)
    wait_for(seconds)
    faults(day, spoiled=0)
    seen(day, "spoiled")
    finish(day)


def weights_unbegun(day, seconds):
    """Replicas take no order, and stand still from before the margin until after the bound: what lies there then
    must not begin once they go on."""
    before_bound_s, after_bound_s = 3.4, 0.4
    bound_s = BOUNDS["verMs"] / 1000
    patient = [{**kind, "targetMs": 1200} for kind in kinds()]  # clients wait four times that for a first event
    traffic(day, max(seconds, bound_s + 6), kinds=patient)
    day.do("faults", busyOrders=1.0)
    wait_for(1.5)
    _, result = day.do("version", model="m0", ver=2)
    day.expect("a version of weights is acknowledged in time", result["status"] == 200, result)
    wait_for(bound_s - before_bound_s)
    day.do("faults", silent=True)
    wait_for(before_bound_s + after_bound_s)
    day.do("faults", silent=False, busyOrders=0.0)
    wait_for(4)


REQUESTS = {
    work.__name__: work
    for work in (idle_reuse, reset_midway, early_answer, late_second, unframed_ends, spoiled_answers, weights_unbegun)
}
MUST_JUDGE_REQUESTS = {name: ["TWICE", "MIXED", "UNASKED"] for name in REQUESTS}
MUST_JUDGE_REQUESTS["weights_unbegun"] += ["VERSION", "ONE"]
# A careless node for each rule: its fault, the scenario that brings it out, the rules it must break, and in what words.
PLANTED = {
    "planted": ("twice", "calm", {"UNASKED", "TWICE", "WALL"}, ""),
    "planted_resend": ("resend", "reset_midway", {"TWICE"}, "ran more than once"),
    "planted_promise": ("promise", "reset_midway", {"REFUSED"}, "503 and a run"),
    "planted_reuse": ("reuse", "late_second", {"MIXED"}, "the answer of"),
    "planted_spoiled": ("none", "spoiled_answers", {"MIXED"}, "no answer"),
    "planted_smuggle": ("smuggle", "early_answer", {"UNASKED"}, "other bytes in place of its body"),
}
