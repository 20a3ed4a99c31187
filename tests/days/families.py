"""Five families of days, one for each point on which the control state has to hold."""

from day import entry
from moments import START_S, any_closing, closing_fault, new_day, traffic_changes
from strongest import CORE_CUT_S, CUT_WAYS

WHO = ("leader", "reader", "turn")
MEANWHILE = ("meet", "race", "hard", "drain")
HUNDREDS_OF_CHANGES = 240
CHANGE_GAP_S = 0.12
AWAY_S = 16.0


def cut_off(site, random):
    """A core machine cut off or standing still for about 20 s while changes, races and revocations go on."""
    days = []
    for way in CUT_WAYS:
        who = random.choice(WHO)
        meanwhile = random.choice(MEANWHILE)
        how = " ".join(word for word in (who, way, meanwhile) if word)
        entries = [entry("core_cut", START_S, count=1, for_s=CORE_CUT_S + random.uniform(-2.0, 1.0), how=how)]
        days.append(new_day("cut_off-%s" % (way or "silent"), entries + busy_span(random), any_closing(random), random))
    for who in WHO:
        for meanwhile in MEANWHILE:
            days.append(frozen(who, meanwhile, random))
    days.append(cut_and_restarted(site, random))
    return days


def busy_span(random):
    """Changes, races and keys taken away through the span of a cut."""
    return [
        *traffic_changes(START_S + 1.0, START_S + CORE_CUT_S, 2.5),
        entry("config_race", START_S + 2.0, count=6, gap_s=2.0),
        entry("revoke", START_S + random.uniform(3.0, 9.0), count=4, gap_s=2.5),
        entry("version_bump", START_S + 5.0, count=0),
    ]


def frozen(who, meanwhile, random):
    """One machine stands still for long and is thawed; it must not act on what it held."""
    how = "%s %s" % (who, meanwhile)
    entries = [entry("node_freeze", START_S, on="core", count=1, for_s=random.uniform(6.0, CORE_CUT_S), how=how)]
    return new_day("cut_off-frozen-%s-%s" % (who, meanwhile), entries + busy_span(random), any_closing(random), random)


def cut_and_restarted(site, random):
    """Every counted machine that may be lost is cut off, and processes are killed while the cut lasts."""
    entries = [
        entry("core_cut", START_S, count=site.tolerate, for_s=CORE_CUT_S, how="leader all race"),
        entry("node_kill", START_S + 6.0, share=0.3, for_s=1.0),
        entry("roll_term", START_S + 9.0, share=0.5, x=2.0, gap_s=0.5),
    ]
    return new_day("cut_off-restarted", entries + busy_span(random), any_closing(random), random)


def operators(site, random):
    """Operators race; their acknowledgements are lost; up to eight orders are under way at once."""
    days = []
    for trouble in ("none", "leader_killed", "leader_cut", "leader_frozen", "member_wiped"):
        entries = [
            entry("ack_lost", START_S, x=0.7, for_s=18.0),
            entry("config_race", START_S + 0.5, count=20, gap_s=0.6),
            entry("config_storm", START_S + 1.0, for_s=6.0, gap_s=0.06),
            entry("config_storm", START_S + 9.0, for_s=5.0, gap_s=0.06),
            entry("version_bump", START_S + 3.0, count=0),
            entry("bad_config", START_S + 4.0, count=4, gap_s=0.5, how="stale_match"),
            *losses_during_orders(trouble, random),
        ]
        days.append(new_day("operators-%s" % trouble, entries, any_closing(random), random))
    return days


def losses_during_orders(trouble, random):
    at = START_S + 3.0 + random.uniform(0.0, 1.0)
    return {
        "none": [],
        "leader_killed": [
            entry("node_kill", at, on="core", count=1, for_s=2.0, how="leader race"),
            entry("after_ack_kill", at + 8.0, for_s=2.0, how="kill"),
        ],
        "leader_cut": [entry("core_cut", at, count=1, for_s=8.0, how="leader race")],
        "leader_frozen": [entry("node_freeze", at, on="core", count=1, for_s=6.0, how="leader race")],
        "member_wiped": [entry("after_ack_wipe", at, count=1, for_s=1.0)],
    }[trouble]


def losses_in_turn(site, random):
    """One loss right after another, at the shortest interval, then a closing fault soon after."""
    days = []
    for number, kinds in enumerate(LOSS_ORDERS, 1):
        entries, at = [entry("config_storm", START_S - 3.0, for_s=3.0, gap_s=0.2)], START_S
        for kind, fields, lasts_s in kinds:
            entries.append(entry(kind, at, **fields))
            at += lasts_s + site.catch_up_s + random.uniform(0.1, 0.6)
        entries += traffic_changes(START_S, at, 1.7)
        how = random.choice(("", "oldest", "timed"))
        closing = closing_fault("wipe_after_ack", how, random)
        days.append(new_day("losses-%d" % number, entries, closing, random, round(at + 14.0)))
    return days


LOST_DISK = ("after_ack_wipe", {"for_s": 1.0}, 1.0)
OLDEST_DISK_LOST = ("after_ack_wipe", {"for_s": 1.0, "how": "oldest"}, 1.0)
TWO_DISKS_LOST = ("after_ack_wipe", {"for_s": 1.0, "count": 2}, 1.0)
REPLACED = ("replace_core", {"x": 1.0}, 1.0)
OLDEST_REPLACED = ("replace_core", {"x": 1.0, "how": "oldest"}, 1.0)
LEADER_REPLACED = ("replace_core", {"x": 2.0, "how": "leader"}, 2.0)
REPLACED_BY_PLAN = ("replace_core", {"x": 1.0, "how": "planned"}, 1.0)
KILLED = ("after_ack_kill", {"for_s": 1.0}, 1.0)
TWO_KILLED = ("after_ack_kill", {"for_s": 1.5, "count": 2}, 1.5)
REMOVED = ("roll_term", {"on": "core", "share": 0.2, "gap_s": 1.0, "how": "remove"}, 1.0)

LOSS_ORDERS = (
    (REPLACED, LOST_DISK, REPLACED_BY_PLAN),
    (OLDEST_REPLACED, OLDEST_DISK_LOST, OLDEST_REPLACED),
    (TWO_DISKS_LOST, TWO_DISKS_LOST, TWO_DISKS_LOST),
    (KILLED, LOST_DISK, KILLED, LOST_DISK),
    (REPLACED_BY_PLAN, REPLACED_BY_PLAN, LOST_DISK),
    (LEADER_REPLACED, LEADER_REPLACED, TWO_KILLED),
    (REMOVED, LOST_DISK, REMOVED),
    (TWO_KILLED, TWO_DISKS_LOST, REMOVED),
    (OLDEST_DISK_LOST, REMOVED, OLDEST_DISK_LOST, REPLACED_BY_PLAN),
)


def many_changes(site, random):
    """Hundreds of changes with a member away, then the leader killed, then power lost by all."""
    days = []
    for away in ("node_kill", "core_cut", "node_freeze"):
        for ending in ("power_off_all", "wipe_after_ack"):
            end = START_S + HUNDREDS_OF_CHANGES * CHANGE_GAP_S
            entries = [
                entry("config_storm", START_S, count=HUNDREDS_OF_CHANGES, gap_s=CHANGE_GAP_S),
                away_entry(away, START_S + 1.0),
                entry("node_kill", end + 0.5, on="core", count=1, for_s=2.0, how="leader"),
            ]
            closing = closing_fault(ending, "", random)
            name = "many_changes-%s-%s" % (away, ending)
            days.append(new_day(name, entries, closing, random, round(end + 22.0)))
    days.append(big_documents(random))
    return days


def away_entry(kind, at):
    """One counted machine that takes no part for a while; one that is only killed would be back at once."""
    fields = {"count": 1, "for_s": AWAY_S}
    if kind == "core_cut":
        return entry(kind, at, **fields)
    return entry(kind, at, on="core", **fields, **({"how": "power"} if kind == "node_kill" else {}))


def big_documents(random):
    """A large document, changed often while a member is away."""
    entries = [
        entry("big_config", START_S, count=1500),
        entry("config_storm", START_S + 2.0, count=60, gap_s=0.25),
        away_entry("node_kill", START_S + 3.0),
        entry("node_kill", START_S + 10.0, on="core", count=1, for_s=2.0, how="leader"),
    ]
    return new_day("many_changes-big", entries, any_closing(random), random, 44)


def connections(site, random):
    """Answers spoilt, lost, cut and reset; addresses taken over by others; clients that leave."""
    spoilt = {
        "garble": {"how": "extra late", "share": 1.0, "x": 0.08, "for_s": 14.0},
        "answer_lost": {"how": "reset", "share": 1.0, "x": 0.08, "for_s": 14.0},
        "reset_conns": {"share": 1.0, "x": 0.8},
        "srv_cut": {"share": 0.4, "for_s": 6.0, "how": "fronts"},
        "idle_race": {"share": 1.0, "x": 60.0, "for_s": 14.0},
        "replace_with_reuse": {"share": 0.25, "how": "dark"},
        "give_up": {"share": 0.6, "for_s": 10.0},
    }
    known = [kind for kind in spoilt if kind in site.kinds()] or list(spoilt)
    days = []
    for number in range(6):
        first, second, third = random.sample(known, 3) if len(known) >= 3 else (known * 3)[:3]
        entries = [
            entry(first, START_S, **spoilt[first]),
            entry(second, START_S + random.uniform(0.5, 3.0), **spoilt[second]),
            entry(third, START_S + random.uniform(2.0, 6.0), **spoilt[third]),
            entry("node_kill", START_S + 8.0, on="core", count=1, for_s=2.0, how="leader race drain"),
            *traffic_changes(START_S, START_S + 14.0, 2.0),
        ]
        days.append(new_day("connections-%d" % (number + 1), entries, any_closing(random), random))
    return days


FAMILIES = {
    "cut_off": cut_off,
    "operators": operators,
    "losses": losses_in_turn,
    "many_changes": many_changes,
    "connections": connections,
}
