"""The course of a soak, drawn from its seed: storms of two or three troubles at once, and calm between them.

The same seed and options give the same course. Who leads and who holds the orders is only found out
when a trouble begins, so a target is named by its part: "leader", "holder", "follower", "core", "edge"."""

import random

CORE = ["kill_leader", "kill_follower", "kill_core", "pause_leader", "pause_follower", "halves", "one_way_core",
        "lone_core", "slow_disk", "stall_disk", "wipe_disk", "lossy_core"]  # fmt: skip
EDGE = ["kill_edge", "kill_herd", "pause_edge", "cut_edges", "one_way_to_edge", "one_way_from_edge", "lossy_edge",
        "moved_seeds"]  # fmt: skip
BACK = ["crash_replica", "leaving_replicas", "lost_orders", "late_orders", "broken_answers", "late_answers",
        "slow_replicas"]  # fmt: skip
CALLERS = ["overload", "lost_acknowledgements"]
SHAPES = {
    "mixed": {**dict.fromkeys(CORE, 1.0), **dict.fromkeys(EDGE, 1.3), **dict.fromkeys(BACK + CALLERS, 0.7),
              "pause_holder": 1.0},
    "weights": {"kill_edge": 3, "kill_herd": 2, "pause_edge": 2, "crash_replica": 2, "lost_orders": 2,
                "leaving_replicas": 3, "late_orders": 2, "overload": 3, "slow_replicas": 2, "lost_acknowledgements": 1},
    "configuration": {"cut_edges": 4, "one_way_to_edge": 3, "one_way_from_edge": 2, "kill_edge": 2, "kill_herd": 2,
                      "pause_edge": 1, "moved_seeds": 2, "lossy_edge": 1, "overload": 2, "kill_core": 1,
                      "pause_leader": 0.5, "lost_acknowledgements": 1},
    "core": {**dict.fromkeys(CORE, 2.0), "pause_holder": 2, "cut_edges": 1, "lost_acknowledgements": 2,
             "lost_orders": 1, "kill_edge": 1},
}  # fmt: skip
LENGTHS = {"kill_leader": (0.3, 2.5), "kill_follower": (0.3, 2.5), "kill_core": (0.3, 1.0), "kill_edge": (0.3, 3.0),
           "kill_herd": (0.3, 2.0), "wipe_disk": (0.3, 2.0), "moved_seeds": (2.0, 4.0)}  # fmt: skip
USUAL, CUT = (0.6, 6.0), (1.0, 9.0)  # what hung in a long cut is repeated seconds after it
LENGTHS |= dict.fromkeys(("cut_edges", "one_way_to_edge", "one_way_from_edge"), CUT)
FIRST, STORM_STARTS, LONGEST_CALM = 2.0, 1.2, {"weights": (2.0, 5.0)}
CALM = (4.0, 6.5)
ONCE_A_STORM = {"kill_core", "halves", "wipe_disk", "overload", "kill_herd", "moved_seeds"}
# Of those that stop most of the core, one at a time; a disk is lost only where nothing else harms the core.
HEAVY = {"kill_core", "halves", "wipe_disk", "stall_disk"}
HARMS_CORE = set(CORE) | {"pause_holder"}


def fits(kind, storm):
    if kind in ONCE_A_STORM and kind in storm:
        return False
    if kind == "wipe_disk" and HARMS_CORE & set(storm):
        return False
    return not ("wipe_disk" in storm and kind in HARMS_CORE) and not (kind in HEAVY and HEAVY & set(storm))


def draw_storm(chance, shape):
    weights, storm = SHAPES[shape], []
    while len(storm) < 2 or (len(storm) < 3 and chance.random() < 0.6):
        kind = chance.choices(list(weights), list(weights.values()))[0]
        if fits(kind, storm):
            storm.append(kind)
    return storm


def draw(seed, shape, seconds):
    """A list of troubles by time: kind, when it begins, how long it lasts, a number for its own choices."""
    chance = random.Random("%s %d" % (shape, seed))
    at, course = FIRST + chance.random(), []
    while at < seconds:
        storm, ends = draw_storm(chance, shape), at
        begins = [0.0] + sorted(chance.uniform(0.0, STORM_STARTS) for _ in storm[1:])
        for kind, begin in zip(storm, begins, strict=True):
            least, most = LENGTHS.get(kind, USUAL)
            lasts = max(chance.uniform(least, most), begins[-1] - begin + 0.3)  # all of a storm overlap
            course.append({"kind": kind, "at": round(at + begin, 2), "lasts": round(lasts, 2),
                           "choice": chance.getrandbits(32)})  # fmt: skip
            ends = max(ends, at + begin + lasts)
        at = ends + chance.uniform(*LONGEST_CALM.get(shape, CALM))
    return [trouble for trouble in course if trouble["at"] + 0.5 < seconds]
