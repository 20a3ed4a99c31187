"""The course of a soak, drawn from its seed: storms of two or three troubles at once, and calm between them.
Courses of the shape "losses" end with a loss of all processes.

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
# All processes at one moment, right after an acknowledgement: killed, or without power; one disk lost, too.
LOSSES = ["kill_all", "kill_all_and_disk", "power", "power_and_disk"]
CORE_STOPS = {"stop_leader", "stop_follower"}
STOPS = [*sorted(CORE_STOPS), "stop_edge"]  # SIGTERM
PLANNED = [*STOPS, "new_settings"]
SHAPES = {
    "mixed": {**dict.fromkeys(CORE, 1.0), **dict.fromkeys(EDGE, 1.3), **dict.fromkeys(BACK + CALLERS, 0.7),
              "pause_holder": 1.0},
    "weights": {"kill_edge": 3, "kill_herd": 2, "pause_edge": 2, "crash_replica": 2, "lost_orders": 2,
                "leaving_replicas": 3, "late_orders": 2, "overload": 3, "slow_replicas": 2, "lost_acknowledgements": 1},
    "configuration": {"cut_edges": 4, "one_way_to_edge": 3, "one_way_from_edge": 2, "kill_edge": 2, "kill_herd": 2,
                      "pause_edge": 1, "moved_seeds": 2, "lossy_edge": 1, "overload": 2, "kill_core": 1,
                      "pause_leader": 0.5, "lost_acknowledgements": 1},
    "answers": {"broken_answers": 5, "late_answers": 2, "slow_replicas": 1, "crash_replica": 2, "leaving_replicas": 2,
                "kill_edge": 2, "pause_edge": 1, "stop_edge": 2, "new_settings": 2, "kill_leader": 1, "overload": 1,
                "lost_acknowledgements": 1},
    "core": {**dict.fromkeys(CORE, 2.0), "pause_holder": 2, "cut_edges": 1, "lost_acknowledgements": 2,
             "lost_orders": 1, "kill_edge": 1},
    "losses": {**dict.fromkeys(LOSSES, 1.5), **dict.fromkeys(STOPS, 1.5), "new_settings": 2, "full_disk": 2.5,
               "stall_disk": 1, "slow_disk": 1, "kill_leader": 1, "pause_leader": 1, "cut_edges": 1, "halves": 1,
               "lost_acknowledgements": 1, "overload": 0.5, "clock_core": 1, "clock_edge": 1},
}  # fmt: skip
LENGTHS = {"kill_leader": (0.3, 2.5), "kill_follower": (0.3, 2.5), "kill_core": (0.3, 1.0), "kill_edge": (0.3, 3.0),
           "kill_herd": (0.3, 2.0), "wipe_disk": (0.3, 2.0), "moved_seeds": (2.0, 4.0)}  # fmt: skip
LENGTHS |= {**dict.fromkeys(LOSSES, (0.3, 1.0)), **dict.fromkeys(STOPS, (0.3, 1.0))}
USUAL, CUT = (0.6, 6.0), (1.0, 9.0)  # what hung in a long cut is repeated seconds after it
LENGTHS |= dict.fromkeys(("cut_edges", "one_way_to_edge", "one_way_from_edge"), CUT)
FIRST, STORM_STARTS, LONGEST_CALM = 2.0, 1.2, {"weights": (2.0, 5.0)}
CALM = (4.0, 6.5)
# Seconds until a trouble is over beyond its own length: `graceS`, and most of `recoverS`.
OVER_LATER = {**dict.fromkeys(STOPS, 8.0), **dict.fromkeys(LOSSES, 8.0)}
CLOSING_AT, CLOSING_CALM = 2.0, 4.0  # seconds before the end, and of calm before the closing loss
PLANNED_ALONE = 0.6  # share of the storms that begin with planned work and have nothing else in them
ONCE_A_STORM = {"kill_core", "halves", "overload", "kill_herd", "moved_seeds", "new_settings"}
# Of those that stop most of the core, one at a time; a disk is lost only where nothing else harms the core.
LOSES_DISK = {"wipe_disk", "kill_all_and_disk", "power_and_disk"}
HEAVY = {"kill_core", "halves", "stall_disk", *LOSSES, *LOSES_DISK}
HARMS_CORE = {*CORE, "pause_holder", *CORE_STOPS, "full_disk", "clock_core", *LOSSES}


def fits(kind, storm):
    if kind in ONCE_A_STORM and kind in storm:
        return False
    if kind in CORE_STOPS and CORE_STOPS & set(storm):
        return False
    if kind in LOSES_DISK and HARMS_CORE & set(storm):
        return False
    return not (LOSES_DISK & set(storm) and kind in HARMS_CORE) and not (kind in HEAVY and HEAVY & set(storm))


def draw_storm(chance, shape):
    weights, storm = SHAPES[shape], []
    while len(storm) < 2 or (len(storm) < 3 and chance.random() < 0.6):
        kind = chance.choices(list(weights), list(weights.values()))[0]
        if fits(kind, storm):
            storm.append(kind)
        if storm and len(storm) == 1 and kind in PLANNED and chance.random() < PLANNED_ALONE:
            weights = {name: weights[name] for name in PLANNED if name in weights}
    return storm


def closing_loss(chance, seconds):
    return {"kind": chance.choice(LOSSES), "at": seconds - CLOSING_AT, "lasts": round(chance.uniform(0.3, 1.0), 2),
            "choice": chance.getrandbits(32)}  # fmt: skip


def draw(seed, shape, seconds):
    """A list of troubles by time: kind, when it begins, how long it lasts, a number for its own choices."""
    chance = random.Random("%s %d" % (shape, seed))
    at, course, closes = FIRST + chance.random(), [], shape == "losses"
    while at < seconds:
        storm, ends, drawn = draw_storm(chance, shape), at, []
        begins = [0.0] + sorted(chance.uniform(0.0, STORM_STARTS) for _ in storm[1:])
        for kind, begin in zip(storm, begins, strict=True):
            least, most = LENGTHS.get(kind, USUAL)
            lasts = max(chance.uniform(least, most), begins[-1] - begin + 0.3)  # all of a storm overlap
            drawn.append({"kind": kind, "at": round(at + begin, 2), "lasts": round(lasts, 2),
                          "choice": chance.getrandbits(32)})  # fmt: skip
            ends = max(ends, at + begin + lasts + OVER_LATER.get(kind, 0.0))
        if closes and ends + CLOSING_CALM > seconds - CLOSING_AT:
            break
        course += drawn
        at = ends + chance.uniform(*LONGEST_CALM.get(shape, CALM))
    course += [closing_loss(chance, seconds)] if closes else []
    return [trouble for trouble in course if trouble["at"] + 0.5 < seconds]
