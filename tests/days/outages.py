"""Days on which edges start again and again with seeds that are cut off or behind, and days of nearly total loss.

Both go on from the days of stale news: routes are added in a steady beat, so a node that believes an older
configuration is seen at once.
"""

from day import entry
from halves import ENDINGS as DISK_ENDINGS
from halves import lost_disks, orders_meanwhile
from moments import START_S, any_closing, new_day
from stale_news import cut_edges, news

HERDS = 3
HERD_GAP_S = (4.5, 6.5)
STALE_S = 9.0  # how long the seeds are cut off or behind
NEWS_S = 12.0
SETTLE_S = 4.0
DARK_S = (0.8, 2.5)
POWER_AFTER_S = 0.2  # disks are lost at the next acknowledgement, which a storm of changes brings within this
DARK_AT_CLOSING_S = 3.0  # the closing fault strikes while machines that do not count are dark
RECOVERY_S = 14.0


def herds(start, random):
    """Herds of edges killed one after another, each while the one before has just come back."""
    found, at = [], start
    for number in range(HERDS):
        fields = {"share": round(random.uniform(0.4, 0.8), 2), "for_s": round(random.uniform(0.5, 1.5), 2)}
        found.append(entry("herd_kill", at, **fields, **({"how": "power"} if number % 2 else {})))
        at += random.uniform(*HERD_GAP_S)
    return found


def seeds_changed(at, entries):
    """The given trouble of core nodes, and seeds that change just after it began and once more in its midst."""
    return [*entries, entry("seed_turnover", at + 0.3), entry("seed_turnover", at + STALE_S / 2)]


# What makes the seeds of the edges useless or old, by the name of the day.
STALE_SEEDS = {
    "cut_off": lambda site, at: [entry("core_cut", at, count=site.tolerate, for_s=STALE_S, how="seeds all")],
    "one_way": lambda site, at: [entry("core_cut", at, count=site.tolerate, for_s=STALE_S, how="seeds one_way")],
    "behind": lambda site, at: [entry("core_cut", at, count=site.tolerate, for_s=STALE_S, how="behind")],
    "frozen": lambda site, at: [entry("node_freeze", at, on="core", count=1, for_s=STALE_S, how="seed")],
    "emptied": lambda site, at: [entry("after_ack_wipe", at, for_s=3.0, count=site.tolerate)],
    "replaced": lambda site, at: [entry("replace_core", at, x=2.0, how="oldest")],
    "half": lambda site, at: [entry("core_cut", at, for_s=STALE_S, how="split")],
}


def stale_seeds(site, random):
    """Each kind of useless seeds under herds that restart; with edges cut off as well, and without."""
    days = []
    for name, trouble in STALE_SEEDS.items():
        for cut in (False, True):
            start = START_S + random.uniform(-1.0, 1.0)
            entries = seeds_changed(start, trouble(site, start)) + herds(start + 1.0, random)
            well = start + STALE_S
            if cut:
                edges, well = cut_edges(start - 1.0, random.choice(("", "all")), random)
                entries.append(edges)
            last = max(well, *(item["at"] for item in entries)) + SETTLE_S + NEWS_S
            entries += news(start - 1.0, last, random)
            title = "stale_seeds-%s-%s" % (name, "cut" if cut else "near")
            days.append(new_day(title, entries, any_closing(random), random, round(last + 3.0)))
    return days


def dark(at, on, random):
    """All machines of a class lose power, for a while of their own."""
    fields = {"share": 1.0, "for_s": round(random.uniform(*DARK_S), 2), "how": "power"}
    return entry("herd_kill", at, **fields, **({"on": on} if on else {}))


def lost_at(site, at, random):
    """As many disks as are borne, and in the same moment power at all others, counted or not.

    A bench that counts losses against what is borne puts the second of them off until the first is caught up;
    then only a closing fault, which strikes while the edges are dark, takes disks and power at once.
    """
    return [
        entry("config_storm", at - 1.0, for_s=2.0, gap_s=0.06),
        entry("after_ack_wipe", at, for_s=round(random.uniform(*DARK_S), 2), count=site.tolerate),
        dark(at + POWER_AFTER_S, "core", random),
        dark(at + POWER_AFTER_S, "", random),
    ]


# What loses nearly everything, by the name of the day.
LOSSES = {
    "once": lost_at,
    "lost_acks": lambda site, at, random: [
        entry("ack_lost", at - 2.0, x=0.8, for_s=8.0),
        *lost_at(site, at, random),
    ],
    "edges_first": lambda site, at, random: [dark(at - 0.5, "", random), *lost_at(site, at, random)],
    "again": lambda site, at, random: [
        *lost_at(site, at, random),
        *lost_at(site, at + site.catch_up_s + DARK_S[1] + 4.0, random),
    ],
    "then_cut": lambda site, at, random: [
        *lost_at(site, at, random),
        entry("core_cut", at + DARK_S[1] + 0.5, for_s=4.0, how="split"),
    ],
    "weights": lambda site, at, random: [
        *[entry("version_bump", at - 2.0 + number * 1.5, count=0) for number in range(2)],
        *lost_at(site, at, random),
    ],
}


def outages(site, random):
    """Each loss in the midst of orders; then disks are lost once more while the edges have no power."""
    days = []
    for number, (name, losses) in enumerate(LOSSES.items()):
        at = START_S + 2.0 + random.uniform(0.0, 1.0)
        entries = losses(site, at, random)
        last = max(item["at"] for item in entries) + site.catch_up_s + RECOVERY_S
        entries += [*orders_meanwhile(at - 3.0, at + 8.0), *news(at + 8.0, last, random)]
        end = round(last + 4.0)
        entries.append(entry("herd_kill", end - 0.6, share=1.0, for_s=DARK_AT_CLOSING_S, how="power"))
        ending = lost_disks(DISK_ENDINGS[number % len(DISK_ENDINGS)], random)
        days.append(new_day("outages-%s" % name, entries, ending, random, end))
    return days
