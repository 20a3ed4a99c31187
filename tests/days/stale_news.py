"""Days on which changes go on each second while edges that were cut off from the core are killed and come back."""

from day import entry
from moments import START_S, any_closing, closing_fault, new_day
from weights import edges_lost, namings, overload

CUT_S = (8.0, 12.0)
CHANGE_GAPS_S = (0.9, 1.5)
NEWS_S = 12.0  # how long changes go on after the edges are back: calm counts again after some seconds
SETTLE_S = 4.0
ROUNDS = 2
# Most changes add a route; the others take away, or touch what refusals are made of.
CHANGE_WAYS = ("idle", "idle", "idle", "route", "idle", "timeout", "idle", "tenant")


def news(start, end, random):
    """Changes in a steady beat that is no multiple of a second, and keys taken away."""
    gap_s = random.uniform(*CHANGE_GAPS_S)
    changes = [
        entry("config_change", start + number * gap_s, how=CHANGE_WAYS[number % len(CHANGE_WAYS)])
        for number in range(int((end - start) / gap_s))
    ]
    return [*changes, entry("revoke", start + 1.3, count=4, gap_s=4.0)]


def killed(how):
    """The herd of edges is killed some seconds after their links are well."""

    def entries(end, random):
        fields = {"share": round(random.uniform(0.4, 0.9), 2), "for_s": round(random.uniform(0.8, 2.0), 2)}
        return [entry("herd_kill", end + random.uniform(0.5, 3.5), **fields, **({"how": how} if how else {}))]

    return entries


def during(kind, before_s, **fields):
    """Something that strikes so long before the links are well, then edges are killed."""
    return lambda end, random: [
        entry(kind, end - before_s + random.uniform(-0.5, 0.5), **fields),
        *killed("")(end, random),
    ]


# What happens around the end of the cut, by the name of the day.
ENDINGS = {
    "killed": killed(""),
    "power": killed("power"),
    "restarted": lambda end, random: [entry("roll_term", end + 0.5, share=0.5, x=2.0, gap_s=0.4)],
    "frozen": lambda end, random: [entry("node_freeze", end + 0.5, share=0.4, for_s=3.0)],
    "reset": lambda end, random: [entry("reset_conns", end + 0.5, share=0.6, x=0.7), *killed("")(end, random)],
    "core_killed": during("node_kill", 3.0, on="core", count=1, for_s=2.0, how="leader"),
    "core_dark": during("node_kill", 3.0, on="core", count=1, for_s=3.0, how="power"),
    "core_halves": during("core_cut", 6.0, for_s=5.0, how="split"),
    "core_cut": during("core_cut", 6.0, count=1, for_s=5.0, how="leader one_way"),
    "core_replaced": during("replace_core", 5.0, x=1.0),
    "seeds": during("core_cut", 6.0, count=1, for_s=5.0, how="seeds"),
    "seeds_turned": during("seed_turnover", 3.0),
    "overload": lambda end, random: [overload(end - 4.0, random), *killed("power")(end, random)],
    "lives": lambda end, random: [
        entry("node_kill", end - before_s, share=0.9, for_s=0.6) for before_s in (6.5, 4.5, 2.5)
    ],
    "core_lives": during("core_cut", 7.0, count=1, for_s=5.0, how="both"),
    "core_slow": during("node_slow", 5.0, on="core", count=1, x=30.0, for_s=4.0),
    "core_emptied": during("after_ack_wipe", 4.0, count=1, for_s=1.0),
    "large": during("big_config", 7.0, count=1500),
    "storm": during("config_storm", 2.0, for_s=5.0, gap_s=0.06),
    "clocks": during("clock_step", 2.0, share=0.5, x=2500.0, for_s=6.0, how="ahead"),
}
CUT_WAYS = ("", "all")


def cut_edges(at, how, random):
    """Edges that hear nothing from the core, and when their links are well again."""
    for_s = round(random.uniform(*CUT_S), 2)
    fields = {"share": round(random.uniform(0.3, 0.6), 2), "for_s": for_s, **({"how": how} if how else {})}
    return entry("node_cut", at, **fields), at + for_s


def stale_round(start, ending, how, random):
    """One cut with what ends it; returns the entries and when the last change is made."""
    cut, well = cut_edges(start, how, random)
    last = well + SETTLE_S + NEWS_S
    return [cut, *ENDINGS[ending](well, random), *news(start - 1.0, last, random)], last


def stale_news(site, random):
    """Each ending of each way of a cut."""
    days = []
    for ending in ENDINGS:
        for how in CUT_WAYS:
            entries, last = stale_round(START_S + random.uniform(-2.0, 1.0), ending, how, random)
            name = "stale_news-%s-%s" % (ending, how or "core")
            days.append(new_day(name, entries, any_closing(random), random, round(last + 3.0)))
    return days


def both(site, random):
    """Weights named and edges cut at once, twice in a day; then a disk is lost and all others lose power."""
    days = []
    for ending in ENDINGS:
        entries, start = [], START_S
        for _ in range(ROUNDS):
            part, last = stale_round(start, ending, random.choice(CUT_WAYS), random)
            named = namings(start, random)
            entries += [*part, *named, overload(start + 2.0, random)]
            entries.append(edges_lost(site, named, random.choice(("", "power")), random))
            start = max(last, start + site.version_s + SETTLE_S) + SETTLE_S
        closing = closing_fault("wipe_after_ack", random.choice(("", "timed", "oldest")), random)
        days.append(new_day("both-%s" % ending, entries, closing, random, round(start)))
    return days
