"""The verdict of a soak: the stand-in's rules on its record, and those that only the driver sees."""

import re
from collections import Counter

import paths  # noqa: F401
from day import BOUNDS
from soak_fleet import MEMORY_LIMIT
from touch import clock

STORIES, WORDS = 5, 1000
NAMED = re.compile(r"\b(?:i-[0-9a-f]+-\d+-\d+|[0-9a-f]{16})\b")  # a run or a request


def line_of(rule, judged, broken, **more):
    state = "BROKEN" if broken else "held" if judged else "not judged"
    return {"rule": rule, "state": state, "judged": judged, "broken": len(broken), "first": broken[:WORDS], **more}


def own_ends(ends, starts):
    return line_of("ENDS", starts, ["%(node)s ended by itself at %(at)d with %(code)s" % end for end in ends])


def polite_stops(stops, limit):
    """Nodes that were told to end (SIGTERM) do so by themselves, before they are killed."""
    broken = ["%(node)s ended %(seconds)g s after SIGTERM with %(code)s" % stop for stop in stops
              if stop["code"] != 0 or stop["seconds"] > limit]  # fmt: skip
    return line_of("STOPS", len(stops), broken)


def recovery(recovered_after, limit):
    broken = [] if recovered_after is not None else ["under a quarter is served %d s after the last trouble" % limit]
    return line_of("RECOVER", 1, broken)


def memory(peaks, limit):
    """Resident memory at its peak, by node; without any figure the nodes do not tell it."""
    broken = ["%s held %d MB, %d are allowed" % (name, peak // 1_000_000, limit // 1_000_000)
              for name, peak in sorted(peaks.items()) if peak > limit]  # fmt: skip
    return line_of("MEMORY", len(peaks), broken)


def invariants(violations):
    """By node, life and line of the metric; without any line the nodes do not count them yet."""
    broken = ["%s, life %d: %s = %g" % (*key, value) for key, value in sorted(violations.items()) if value > 0]
    return line_of("INVARIANTS", len(violations), broken)


def stories(fleet, lines):
    """What was seen of the requests that broke a rule, by the stand-in's record."""
    for line in lines:
        line["stories"] = {}
        for what in line["first"][:STORIES] if line["state"] == "BROKEN" else []:
            for name in NAMED.findall(what)[:2]:
                line["stories"][name] = fleet.do("story", identity=name)[1]["steps"]
    return lines


def judge(run):
    fleet = run.fleet
    lines = fleet.do("verdicts", most=WORDS, timeout=120)[1]["rules"]
    lines.append(own_ends(fleet.own_ends, sum(fleet.lives.values())))
    lines.append(polite_stops(fleet.stops, BOUNDS["graceS"]))
    lines.append(recovery(run.recovered_after, BOUNDS["recoverS"]))
    lines.append(invariants(fleet.metrics.violations))
    lines.append(memory(fleet.metrics.peaks, MEMORY_LIMIT))
    lines.append(line_of("BODIES", sum(run.bodies.answers.values()), run.bodies.unanswered))
    lines.append(line_of("COURSE", len(run.timeline), run.failures))
    counts = fleet.do("counts")[1]
    kinds = {}
    for trouble in run.timeline:
        name = trouble["kind"] if trouble["whom"] else trouble["kind"] + " (nobody free)"
        kinds[name] = kinds.get(name, 0) + 1
    seen = {
        "troubles": kinds, "operators": run.operators.counts, "platform": fleet.do("seen")[1],
        "requests": {name: counts.get(name, 0) for name in ("served", "refused", "denied", "failed")},
        "starts": sum(fleet.lives.values()), "recovered after": run.recovered_after,
        "long bodies": dict(run.bodies.answers), "unfinished requests": dict(run.bodies.unfinished),
        "megabytes at the peak": max(fleet.metrics.peaks.values(), default=0) // 1_000_000,
        "stalls": run.watch.stalls, "unplanned disk stalls": fleet.unplanned_stalls(),
        "files with writes that no sync covered, as power went": dict(Counter(fleet.later_writes)),
        "judged at": clock(),
    }  # fmt: skip
    return stories(fleet, lines), seen


def broken_rules(lines):
    return sorted(line["rule"] for line in lines if line["state"] == "BROKEN")
