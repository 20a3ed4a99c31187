"""Days on which versions of the weights are named one soon after another while more is asked than can be served."""

from day import entry
from moments import START_S, any_closing, new_day, traffic_changes

NAMINGS = (2, 3)
NAMING_GAP_S = (1.0, 4.0)
BURST_S = (15.0, 20.0)
BURST_X = (1.8, 2.8)
BEFORE_BOUND_S = (2.0, 8.0)  # edges go this long before the bound of the first version, and are back by then
AFTER_BOUND_S = 4.0


def namings(start, random):
    """Two or three versions, the second and third while the one before is still being loaded."""
    times = [start]
    for _ in range(random.choice(NAMINGS) - 1):
        times.append(times[-1] + random.uniform(*NAMING_GAP_S))
    return [entry("version_bump", at, count=0) for at in times]


def overload(start, random):
    return entry("burst", start, x=round(random.uniform(*BURST_X), 2), for_s=round(random.uniform(*BURST_S), 1))


def edges_lost(site, named, how, random):
    """A herd of edges that is gone after the last naming and back shortly before the bound of the first version."""
    bound = named[0]["at"] + site.version_s
    sooner, later = BEFORE_BOUND_S
    at = random.uniform(max(bound - later, named[-1]["at"] + 0.5), bound - sooner)
    fields = {"share": round(random.uniform(0.2, 0.7), 2), "for_s": round(random.uniform(0.5, 2.0), 2)}
    return entry("herd_kill", at, **fields, **({"how": how} if how else {}))


def replicas(kind, at, **fields):
    """A trouble on replicas of the language model, which is the first service of a site."""
    return lambda start, random: [entry(kind, start + at, **fields)]


def holder(kind, how, for_s):
    """A trouble on the machine that gives the orders, over early enough for the bound to run in calm."""
    on = {} if kind == "core_cut" else {"on": "core"}
    return lambda start, random: [
        entry(kind, start + random.uniform(0.3, 2.0), count=1, for_s=for_s, how="giver %s" % how, **on)
    ]


def duty_moves_at_margin(start, random):
    """The disk of the ordering machine is full from before the margin of a bound of 15 s: the next one orders late."""
    at = start + random.uniform(11.3, 12.3)
    return [
        entry("disk_full", at, count=1, on="core", for_s=6.0, how="giver"),
        entry("burst", at - 0.3, x=5.0, for_s=1.6),
    ]


# What else goes on while the versions are loaded, by the name of the day.
COMPANY = {
    "herd": lambda start, random: [],
    "crashed": replicas("srv_crash", 2.0, share=0.2, for_s=4.0, how="dark"),
    "gone": replicas("srv_crash", 3.0, share=0.2, how="gone"),
    "slow": replicas("srv_slow", 0.5, share=0.3, x=6.0, for_s=14.0),
    "hanging": replicas("srv_grey", 0.5, share=0.25, x=0.5, for_s=12.0, how="hang"),
    "shedding": replicas("srv_grey", 0.5, share=0.3, x=0.6, for_s=12.0, how="shed"),
    "leaving": replicas("scale_in", 1.2, share=0.2),
    "spot": replicas("scale_in", 1.2, share=0.2, how="spot"),
    "release": replicas("release", 1.0, share=0.4, x=2.0, gap_s=1.0),
    "answers_lost": replicas("answer_lost", 0.0, share=1.0, x=0.1, for_s=12.0),
    "answers_reset": replicas("answer_lost", 0.0, share=1.0, x=0.1, for_s=12.0, how="reset"),
    "holder_killed": holder("node_kill", "", 1.0),
    "holder_dark": holder("node_kill", "power", 2.0),
    "holder_cut": holder("core_cut", "one_way", 3.0),
    "holder_thawed": holder("node_freeze", "", 2.5),
    "moves_slow": replicas("kv_slow", 0.5, share=0.6, x=30.0, for_s=14.0),
    "events_lost": replicas("events_gap", 0.5, share=0.6, for_s=12.0),
    "more": replicas("scale_out", 0.5, share=0.5, gap_s=0.4),
    "reused": replicas("replace_with_reuse", 1.5, share=0.2),
    "spoilt": replicas("garble", 0.0, share=1.0, x=0.08, for_s=12.0, how="extra late"),
    "mute": replicas("srv_grey", 0.5, share=0.3, x=0.6, for_s=12.0, how="mute"),
    "left": replicas("give_up", 0.0, share=0.6, for_s=14.0),
    "abuse": replicas("retry_abuse", 1.0, share=0.6, x=5.0, for_s=12.0),
    "storm": replicas("config_storm", 0.2, for_s=5.0, gap_s=0.08),
    "reset": replicas("reset_conns", 2.5, share=1.0, x=0.8),
    "holder_slow": holder("node_slow", "", 2.0),
    "holder_stalled": lambda start, random: [entry("disk_stall", start + 0.3, count=2, for_s=2.5)],
    "holder_replaced": lambda start, random: [entry("replace_core", start + 0.6, x=1.0, how="leader")],
    "holder_changes": duty_moves_at_margin,
}


def weights(site, random):
    """Each company under an overload, edges killed or without power before the bound, then changes."""
    days = []
    for name, company in COMPANY.items():
        for edges in ("", "power"):
            start = START_S + random.uniform(0.0, 1.0)
            after = start + site.version_s + AFTER_BOUND_S
            named = namings(start, random)
            entries = [
                *named,
                overload(start + random.uniform(0.0, 3.0), random),
                edges_lost(site, named, edges, random),
                *company(start, random),
                *traffic_changes(after, after + 4.0, 1.0),
            ]
            title = "weights-%s-%s" % (name, edges or "killed")
            days.append(new_day(title, entries, any_closing(random), random, round(after + 7.0)))
    return days
