"""Days of one kind alone, of two kinds where the second strikes at a moment that hurts, and of closing faults."""

from day import Day, entry
from strongest import variants

START_S = 6.0  # after the fleet has formed and its first clients have been served
LAST_CHANGE_BEFORE_END_S = 8.0  # closing faults strike after one more change; the rest of the day is recovery
CLOSING_KINDS = ("power_off_all", "kill_all", "wipe_after_ack")
CLOSING_WAYS = ("", "timed", "taken", "oldest")
MIXES = 24
# Entries that bring the moment about, and how long after their start the second kind strikes.
MOMENTS = {
    "acknowledged": (lambda site: [("config_storm", 0.0, {"for_s": 3.0, "gap_s": 0.2})], 1.01),
    "takeover": (lambda site: [("node_kill", 0.0, {"on": "core", "count": 1, "for_s": 4.0, "how": "leader"})], 0.9),
    "replacement": (lambda site: [("replace_core", 0.0, {"x": 1.0})], 1.6),
    "catch_up": (lambda site: [("after_ack_wipe", 0.0, {"for_s": 1.0, "count": 1})], 2.5),
    "closing": (lambda site: [("config_change", 0.0, {"how": "idle"})], 0.5),
}
PAIRED = (
    "after_ack_kill after_ack_wipe ack_lost clock_step config_race core_cut disk_full disk_slow disk_stall"
    " node_freeze node_kill replace_core revoke roll_term seed_turnover version_bump"
).split()


def traffic_changes(start, end, gap_s):
    """Plain changes through a span, so that there is always one whose loss would be seen."""
    ways = ("route", "weights", "timeout", "tenant")
    count = int((end - start) / gap_s) + 1
    return [entry("config_change", start + number * gap_s, how=ways[number % len(ways)]) for number in range(count)]


def closing_ways(kind):
    """The variants of one closing fault; only a lost disk has any."""
    return CLOSING_WAYS if kind == "wipe_after_ack" else ("", "timed", "taken")


def closing_fault(kind, how, random):
    fault = {"kind": kind, "down_s": round(random.uniform(0.4, 2.0), 2)}
    return {**fault, "how": how} if how else fault


def any_closing(random):
    kind = random.choice(CLOSING_KINDS)
    return closing_fault(kind, random.choice(closing_ways(kind)), random)


def alone(site, random):
    """Every kind of the site by itself, each variant at its strongest."""
    days = []
    for kind in site.kinds():
        for number, fields in enumerate(variants(kind, site), 1):
            entries = [entry(kind, START_S + random.uniform(0.0, 2.0), **fields)]
            entries += traffic_changes(START_S, START_S + 12.0, 3.0)
            days.append(new_day("alone-%s-%d" % (kind, number), entries, any_closing(random), random))
    return days


def pairs(site, random):
    """Each moment that hurts with each kind that touches the control state."""
    days = []
    for moment, (bring_about, delay_s) in MOMENTS.items():
        start = START_S if moment != "closing" else site.length_s - LAST_CHANGE_BEFORE_END_S
        for kind in (kind for kind in PAIRED if kind in site.kinds()):
            fields = random.choice(variants(kind, site))
            entries = [entry(name, start + offset, **words) for name, offset, words in bring_about(site)]
            entries.append(entry(kind, start + delay_s + random.uniform(0.0, 0.4), **fields))
            days.append(new_day("pair-%s-%s" % (moment, kind), entries, any_closing(random), random))
    return days


def closings(site, random):
    """Each closing fault with its variants, after changes and one loss that has just been caught up."""
    days = []
    for kind in CLOSING_KINDS:
        for how in closing_ways(kind):
            late = site.length_s - LAST_CHANGE_BEFORE_END_S - site.catch_up_s
            entries = traffic_changes(START_S, late, 2.5)
            entries.append(entry("after_ack_wipe", late, for_s=1.0, count=site.tolerate))
            name = "closing-%s-%s" % (kind, how or "plain")
            days.append(new_day(name, entries, closing_fault(kind, how, random), random))
    return days


def mixes(site, random):
    """Six troubles of the control state at drawn times, under changes, races and lost acknowledgements."""
    known = [kind for kind in PAIRED if kind in site.kinds()]
    days = []
    for number in range(1, MIXES + 1):
        entries = [
            entry("config_storm", START_S, count=100, gap_s=0.2),
            entry("config_race", START_S + 1.0, count=6, gap_s=3.0),
        ]
        for kind in random.choices(known, k=6):
            at = random.uniform(START_S, site.length_s - LAST_CHANGE_BEFORE_END_S)
            entries.append(entry(kind, at, **random.choice(variants(kind, site))))
        days.append(new_day("mix-%d" % number, entries, any_closing(random), random))
    return days


def new_day(name, entries, closing, random, length_s=None):
    return Day(name, random.randrange(1, 2**28), tuple(entries), closing, length_s)
