"""Which nodes the bounded rules hold for, and when: the users' words "in touch" and "settled", worked out
from the troubles that were made. Times are milliseconds of the steady clock, as in the stand-in."""

import threading
import time

from course import STOPS

FOREVER = 1 << 60
AFTER_GRACE = 1000  # milliseconds in which a stop counts as planned work yet


def clock():
    return time.monotonic_ns() // 1_000_000


class Ledger:
    """What was done to whom, written before it begins and after it is over."""

    def __init__(self):
        self.harms, self.lock = [], threading.Lock()

    def begin(self, kind, nodes=(), pairs=(), lossy=False):
        harm = {"kind": kind, "nodes": sorted(nodes), "pairs": sorted(set(pairs)), "lossy": lossy, "from": clock(),
                "to": FOREVER}  # fmt: skip
        with self.lock:
            self.harms.append(harm)
        return harm

    def end(self, harm):
        harm["to"] = clock()


def harmed_nodes(harm):
    """Those with trouble of their own: also both ends of a link that loses packets."""
    return set(harm["nodes"]) | ({name for pair in harm["pairs"] for name in pair} if harm["lossy"] else set())


def harmed_cores(harm, cores):
    links = {name for pair in harm["pairs"] if set(pair) <= set(cores) for name in pair}
    return (harmed_nodes(harm) | links) & set(cores)


def majority_gone(harms, cores):
    """Spans in which at most half of the core was unharmed."""
    times = sorted({harm["from"] for harm in harms} | {harm["to"] for harm in harms})
    spans = []
    for start, end in zip(times, times[1:], strict=False):
        active = [harm for harm in harms if harm["from"] <= start and harm["to"] >= end]
        harmed = set().union(*(harmed_cores(harm, cores) for harm in active)) if active else set()
        if 2 * (len(cores) - len(harmed)) <= len(cores):
            spans.append((start, end))
    return spans


def span(harm, after, node=None):
    found = {"from": harm["from"], "to": min(FOREVER, harm["to"] + after)}
    return {**found, "node": node} if node else found


def planned_stops(harms, contact, grace):
    """Spans of planned stops by node, and of all other harms."""
    stops = [{"node": name, "from": harm["from"], "to": min(FOREVER, harm["from"] + grace + AFTER_GRACE)}
             for harm in harms if harm["kind"] in STOPS for name in harm["nodes"]]  # fmt: skip
    return {"stops": stops, "unplanned": [span(harm, contact) for harm in harms if harm["kind"] not in STOPS]}


def spans(harms, cores, edges, contact):
    """What the stand-in's judge is told: not in touch; not even but for an unsettled core; core or links rough."""
    away, apart, rough = [], [], []
    for harm in harms:
        unsettled = bool(harmed_cores(harm, cores))
        own = harmed_nodes(harm) & set(edges)
        for first, second in harm["pairs"]:  # cut from a core node: no path both ways
            own |= {name for name, other in ((first, second), (second, first)) if name in edges and other in cores}
        away += [span(harm, contact, name) for name in sorted(own)]
        apart += [span(harm, contact, name) for name in sorted(own)]
        if unsettled:
            away.append(span(harm, contact, "*"))
            rough.append(span(harm, contact))
        elif harm["pairs"]:
            rough.append(span(harm, 0))
    for start, end in majority_gone(harms, cores):
        apart.append({"node": "*", "from": start, "to": min(FOREVER, end + contact)})
    return {"away": away, "apart": apart, "rough": rough}
