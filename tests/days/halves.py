"""Days on which the counted machines stand in two halves, or lose more at once than is borne, though no more disks."""

from day import entry
from moments import START_S, closing_fault, new_day, traffic_changes

SPLIT_S = 6.0  # over five seconds: every lease of the old leader runs out meanwhile
ENDINGS = ("", "timed", "taken", "oldest", "aimed")
RECOVERY_S = 16.0


def lost_disks(how, random):
    """The closing fault that takes disks while the other counted machines lose power."""
    return closing_fault("wipe_after_ack", how, random)


def split(at, for_s=SPLIT_S):
    return entry("core_cut", at, for_s=round(for_s, 2), how="split")


def orders_meanwhile(start, end):
    """What operators do through a span: changes, races, keys taken away, new weights."""
    return [
        *traffic_changes(start, end, 1.5),
        entry("config_race", start + 1.2, count=5, gap_s=1.5),
        entry("revoke", start + 1.4, count=4, gap_s=1.5),
        entry("version_bump", start + 2.0, count=0),
    ]


MEANWHILE = {
    "orders": lambda at: [],
    "storm": lambda at: [entry("config_storm", at + 0.2, for_s=SPLIT_S, gap_s=0.06)],
    "lost_acks": lambda at: [entry("ack_lost", at - 0.5, x=0.8, for_s=SPLIT_S + 2.0)],
    "restarts": lambda at: [entry("roll_term", at + 0.5, share=0.5, x=2.0, gap_s=0.5)],
    "killed": lambda at: [entry("herd_kill", at + SPLIT_S / 2, on="core", share=1.0, for_s=1.0, how="taken")],
    "large": lambda at: [entry("big_config", at + 1.0, count=600)],
}


def halves(site, random):
    """Two halves for some seconds under orders; then disks are lost and all others lose power."""
    days = []
    for number, (name, meanwhile) in enumerate(MEANWHILE.items()):
        at = START_S + random.uniform(0.0, 1.0)
        entries = [split(at, SPLIT_S + random.uniform(0.0, 3.0)), *orders_meanwhile(at - 1.0, at + SPLIT_S + 3.0)]
        ending = lost_disks(ENDINGS[number % len(ENDINGS)], random)
        days.append(new_day("halves-%s" % name, entries + meanwhile(at), ending, random))
    days.append(split_again(random))
    days.append(closed_soon_after(site, random))
    return days


def split_again(random):
    """Three times in turn, with less rest between than machines need to catch up."""
    entries = [split(START_S + 7.0 * number, 5.5) for number in range(3)]
    entries += orders_meanwhile(START_S - 1.0, START_S + 20.0)
    return new_day("halves-again", entries, lost_disks("", random), random, START_S + 22.0 + RECOVERY_S)


def closed_soon_after(site, random):
    """The last split heals as machines have just caught up; changes go on until the closing fault."""
    end = START_S + SPLIT_S + site.catch_up_s + 1.0
    entries = [split(START_S), *orders_meanwhile(START_S - 1.0, end)]
    return new_day("halves-closed", entries, lost_disks("oldest", random), random, end + RECOVERY_S)


def beyond(site, random):
    """More machines lost at once than is borne, yet no more disks: nothing acknowledged may be lost or aged."""
    disks = entry("after_ack_wipe", START_S, for_s=3.0, count=site.tolerate)
    power = {"on": "core", "share": 1.0, "for_s": 2.0}
    shapes = {
        "behind": [entry("core_cut", START_S, count=site.tolerate, for_s=5.0, how="behind")],
        "relieve": [entry("core_cut", START_S, count=site.tolerate, for_s=5.0, how="relieve")],
        "disk_and_power": [disks, entry("herd_kill", START_S + 0.6, how="power taken", **power)],
        "power_and_disk": [entry("herd_kill", START_S, how="power", **power), {**disks, "at": START_S + 0.2}],
        "split_and_disk": [split(START_S), {**disks, "at": START_S + 2.0}],
        "split_and_power": [split(START_S), entry("herd_kill", START_S + 3.0, how="power taken all", **power)],
        "disk_and_split": [disks, split(START_S + 1.0)],
    }
    days = []
    for name, entries in shapes.items():
        entries = entries + orders_meanwhile(START_S - 1.0, START_S + 8.0)
        days.append(new_day("beyond-%s" % name, entries, lost_disks(random.choice(ENDINGS), random), random))
    return days
