"""The writer of days under test: what it writes can be read, repeats itself, and leaves no kind or family out."""

import pathlib
import sys
import tempfile
import tomllib

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
from day import day_text
from families import AWAY_S, FAMILIES, HUNDREDS_OF_CHANGES
from halves import MEANWHILE, SPLIT_S
from moments import CLOSING_KINDS, MIXES, MOMENTS
from outages import DARK_AT_CLOSING_S, HERDS, LOSSES, STALE_SEEDS
from site_file import described_kinds, read_site
from stale_news import CUT_WAYS, ENDINGS
from weights import COMPANY, NAMING_GAP_S
from write_days import SETS, days_of

SITE_TEXT = """
name = "orchard"
length_s = 30.0
machines = [
  { class = "front", count = 2 },
  { class = "core", count = 4 },
  { class = "core", count = 1 },
]
troubles = [
  { kind = "core_cut", for_s = 4.0, how = "leader" },
  { kind = "unheard_of", x = 2.0 },
]
timing = { catch_up_s = 3.0, version_ms = 14000.0 }
tolerate = { machines = 2 }
[[day]]
name = "calm"
slot = "quiet"
one = 0.9
traffic = []
[[day]]
name = "rough"
slot = "trouble"
one = 0.8
zero = 0.2
goal = { floor = 0.3 }
traffic = [{ zone = "hill", mix = { pick = 1.5 }, clients = 2 }]
"""
KINDS_TEXT = "Words that lead in: none.\nack_lost: a share is lost\nnode_kill: some\n\nthese may come too:\nhup: some\n"


def orchard(folder):
    site_path, kinds_path = folder / "orchard.toml", folder / "orchard.kinds"
    site_path.write_text(SITE_TEXT)
    kinds_path.write_text(KINDS_TEXT)
    return read_site(site_path, kinds_path)


def test_site_is_read(site):
    assert (site.core_count, site.tolerate, site.catch_up_s, site.version_s) == (5, 2, 3.0, 14.0)
    assert site.load["one"] == 0.8, "the day of trouble gives the load"
    assert site.kinds() == ["ack_lost", "core_cut", "hup", "node_kill", "unheard_of"]
    assert described_kinds("Each entry has: x\n") == ()


def test_days_can_be_read(site):
    for day in days_of(site, 7, SETS):
        document = tomllib.loads(day_text(day, site))["day"][0]
        assert document["traffic"] == site.load["traffic"]
        assert len(document["plan"]) + len(document["faults"]) == len(day.entries)
        assert all("kind" in item and item["at"] >= 0 for item in document["plan"] + document["faults"])
        length = document.get("length_s", site.length_s)
        assert all(item["at"] < length for item in document["faults"]), "%s strikes after its end" % day.name


def test_same_seed_same_days(site):
    assert days_of(site, 7, SETS) == days_of(site, 7, SETS)
    assert days_of(site, 7, SETS) != days_of(site, 8, SETS)
    assert days_of(site, 7, ["losses"]) == [day for day in days_of(site, 7, SETS) if day.name.startswith("losses")]


def test_names_are_unique(site):
    names = [day.name for day in days_of(site, 7, SETS)]
    assert len(names) == len(set(names))


def test_nothing_is_left_out(site):
    days = days_of(site, 7, SETS)
    for kind in site.kinds():
        alone = [day for day in days if day.name.startswith("alone-%s-" % kind)]
        assert alone and all(kind in {item["kind"] for item in day.entries} for day in alone), kind
    for moment in MOMENTS:
        assert any(day.name.startswith("pair-%s-" % moment) for day in days), moment
    assert sum(day.name.startswith("mix-") for day in days) == MIXES
    for family in FAMILIES:
        assert any(day.name.startswith(family) for day in days), family
    for kind in CLOSING_KINDS:
        assert sum(day.name.startswith("closing-%s" % kind) for day in days) >= 3, kind


def test_losses_leave_room_to_catch_up(site):
    days = [day for day in days_of(site, 7, ["losses"])]
    losing = {"after_ack_wipe", "after_ack_kill", "replace_core", "roll_term"}
    for day in days:
        times = [item["at"] for item in day.faults() + day.plan() if item["kind"] in losing]
        times.sort()
        assert all(later - sooner > site.catch_up_s for sooner, later in zip(times, times[1:])), day.name
        assert day.closing["kind"] == "wipe_after_ack"


def test_many_changes(site):
    storms = [
        item["count"]
        for day in days_of(site, 7, ["many_changes"])
        for item in day.plan()
        if item["kind"] == "config_storm"
    ]
    assert storms.count(HUNDREDS_OF_CHANGES) >= 6
    away = [item for day in days_of(site, 7, ["many_changes"]) for item in day.faults() if item.get("for_s") == AWAY_S]
    assert away and all(item["how"] == "power" for item in away if item["kind"] == "node_kill"), "back at once"


def test_halves(site):
    days = days_of(site, 7, ["halves"])
    assert len(days) == len(MEANWHILE) + 2
    for day in days:
        splits = [item for item in day.faults() if item["kind"] == "core_cut"]
        assert splits and all(item["how"] == "split" and item["for_s"] > 5.0 for item in splits), day.name
        first, last = splits[0]["at"], max(item["at"] + item["for_s"] for item in splits)
        planned = {item["kind"] for item in day.plan() if first <= item["at"] <= last}
        assert {"config_change", "config_race", "revoke", "version_bump"} <= planned, day.name
        assert day.closing["kind"] == "wipe_after_ack"
        assert last + site.catch_up_s < (day.length_s or site.length_s), "%s ends in two halves" % day.name
    assert any(sum(item["kind"] == "core_cut" for item in day.faults()) > 1 for day in days)
    assert any(item["kind"] == "herd_kill" and item["at"] > SPLIT_S for day in days for item in day.faults())


def test_losses_beyond_what_is_borne(site):
    for day in days_of(site, 7, ["beyond"]):
        wiped = [item["count"] for item in day.faults() if item["kind"] == "after_ack_wipe"]
        assert sum(wiped) <= site.tolerate, "%s loses more disks than are borne" % day.name
        losing = {"herd_kill", "core_cut", "after_ack_wipe"}
        assert any(item["kind"] in losing for item in day.faults()), day.name


def times(day, kind):
    return [item["at"] for item in day.in_order(lambda item: item["kind"] == kind)]


def test_versions_follow_one_another(site):
    days = days_of(site, 7, ["weights"])
    assert len(days) == 2 * len(COMPANY)
    for day in days:
        named, lost = times(day, "version_bump"), times(day, "herd_kill")
        assert 2 <= len(named) <= 3, day.name
        gaps = [later - sooner for sooner, later in zip(named, named[1:])]
        assert all(NAMING_GAP_S[0] - 0.02 <= gap <= NAMING_GAP_S[1] + 0.02 for gap in gaps), day.name
        bound = named[0] + site.version_s
        assert named[-1] < lost[0] < bound, "%s: edges are not lost between the namings and the bound" % day.name
        burst = next(item for item in day.faults() if item["kind"] == "burst")
        assert burst["at"] - named[0] <= 3.02 and 15.0 <= burst["for_s"] <= 20.0, day.name
        assert min(times(day, "config_change")) > bound and day.length_s > bound + site.catch_up_s, day.name
    givers = [item for day in days for item in day.faults() if "giver" in item.get("how", "")]
    assert {item["kind"] for item in givers} == {"node_kill", "core_cut", "node_freeze", "node_slow", "disk_full"}


def test_news_goes_on_past_the_cut(site):
    days = days_of(site, 7, ["stale_news"])
    assert len(days) == len(ENDINGS) * len(CUT_WAYS)
    for day in days:
        cut = next(item for item in day.faults() if item["kind"] == "node_cut")
        well = cut["at"] + cut["for_s"]
        assert 8.0 <= cut["for_s"] <= 12.0 and "reset" not in cut.get("how", ""), day.name
        changes = times(day, "config_change")
        assert changes[0] < cut["at"] and changes[-1] > well + 10.0, day.name
        assert max(later - sooner for sooner, later in zip(changes, changes[1:])) < 2.0, day.name
        added = [item for item in day.plan() if item.get("how") == "idle"]
        assert 2 * len(added) > len(changes), "%s adds few routes" % day.name
        back = [item["at"] for item in day.faults() if item["kind"] == "herd_kill"]
        assert all(0.0 < at - well < 4.0 for at in back), day.name
    assert sum(bool(times(day, "herd_kill")) for day in days) > len(days) / 2


def test_edges_restart_again_within_one_cut(site):
    for day in days_of(site, 7, ["stale_news"]):
        if "-lives-" in day.name and "core_lives" not in day.name:
            cut = next(item for item in day.faults() if item["kind"] == "node_cut")
            killed = times(day, "node_kill")
            assert len(killed) == 3 and cut["at"] < killed[0], day.name
            assert killed[-1] < cut["at"] + cut["for_s"], "%s: not within the cut" % day.name


def test_both_at_once_twice(site):
    days = days_of(site, 7, ["both"])
    assert len(days) == len(ENDINGS)
    for day in days:
        cuts, named = times(day, "node_cut"), times(day, "version_bump")
        assert len(cuts) == 2 and len(named) >= 4, day.name
        for cut in cuts:
            assert any(abs(at - cut) < 0.02 for at in named), "%s: not at once" % day.name
        assert cuts[1] > cuts[0] + site.version_s, day.name
        assert day.closing["kind"] == "wipe_after_ack", "the other machines lose power too"


def test_herds_restart_with_stale_seeds(site):
    days = days_of(site, 7, ["stale_seeds"])
    assert len(days) == 2 * len(STALE_SEEDS)
    for day in days:
        lost, turned = times(day, "herd_kill"), times(day, "seed_turnover")
        assert len(lost) == HERDS and max(lost[1] - lost[0], lost[2] - lost[1]) < 7.0, day.name
        assert turned[0] < lost[0] and turned[1] < lost[-1], "%s: herds start before the seeds change" % day.name
        changes = times(day, "config_change")
        assert max(later - sooner for sooner, later in zip(changes, changes[1:])) < 2.0, day.name
        assert changes[0] < lost[0] and changes[-1] > lost[-1] + 10.0, day.name
    assert sum(bool(times(day, "node_cut")) for day in days) == len(STALE_SEEDS)


def test_nearly_everything_is_lost_at_one_moment(site):
    days = days_of(site, 7, ["outages"])
    assert len(days) == len(LOSSES)
    for day in days:
        disks = [item for item in day.faults() if item["kind"] == "after_ack_wipe"]
        assert disks and all(item["count"] == site.tolerate for item in disks), day.name
        dark = [item for item in day.faults() if item["kind"] == "herd_kill" and item["how"] == "power"]
        assert all(item["share"] == 1.0 for item in dark), day.name
        for disk in disks:
            near = {item.get("on", "") for item in dark if abs(item["at"] - disk["at"]) < 0.35}
            assert near == {"core", ""}, "%s: some machines keep their power" % day.name
            storms = [item for item in day.plan() if item["kind"] == "config_storm"]
            assert any(item["at"] < disk["at"] < item["at"] + item["for_s"] for item in storms), "no change is taken"
        closing = dark[-1]
        assert closing["at"] < day.length_s < closing["at"] + DARK_AT_CLOSING_S, day.name
        assert day.closing["kind"] == "wipe_after_ack" and disks[-1]["at"] + site.catch_up_s < closing["at"], day.name


def main():
    with tempfile.TemporaryDirectory() as folder:
        site = orchard(pathlib.Path(folder))
        tests = [value for name, value in sorted(globals().items()) if name.startswith("test_")]
        for test in tests:
            test(site)
    print("days: %d checks hold" % len(tests))


if __name__ == "__main__":
    main()
