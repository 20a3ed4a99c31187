"""Courses of losses and the loss of power under test."""

import json
import pathlib
import random
import shutil
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import paths  # noqa: F401
from course import CORE_STOPS, HARMS_CORE, HEAVY, LOSES_DISK, LOSSES, PLANNED, STOPS, draw
from day import BOUNDS
from power import LATER_WRITES, lose_unsynced

SEEDS = range(60)


def disks_are_lost_one_at_a_time():
    for seed, shape in [(seed, shape) for seed in SEEDS for shape in ("core", "mixed", "losses")]:
        course = draw(seed, shape, 200)
        for trouble in course:
            if trouble["kind"] not in LOSES_DISK:
                continue
            for other in course:
                near = abs(other["at"] - trouble["at"]) < 1.3 and other is not trouble
                assert not (near and other["kind"] in HARMS_CORE), (seed, trouble, other)
                # A disk is lost again only when the first has been caught up with.
                apart = BOUNDS["recoverS"] if trouble["kind"] in LOSSES else BOUNDS["catchupS"]
                later = other["at"] - trouble["at"] - trouble["lasts"]
                assert other["kind"] not in LOSES_DISK or other["at"] <= trouble["at"] or later >= apart, (
                    seed, trouble, other)  # fmt: skip
    assert HEAVY <= HARMS_CORE


def courses_of_losses_close_with_one_of_all():
    closed_with = set()
    for seed in SEEDS:
        course = draw(seed, "losses", 50)
        closing, before = course[-1], course[:-1]
        closed_with.add(closing["kind"])
        assert closing["kind"] in LOSSES and 50 - closing["at"] < 2.5
        assert all(other["at"] + other["lasts"] + 4 <= closing["at"] for other in before), (seed, course)
    assert closed_with == set(LOSSES)


def planned_work_comes_alone_at_times():
    storms = {True: 0, False: 0}
    for seed in SEEDS:
        course = draw(seed, "losses", 300)
        stops = [trouble for trouble in course if trouble["kind"] in STOPS]
        for stop in stops:
            near = [other["kind"] for other in course if abs(other["at"] - stop["at"]) < 1.3]
            assert sum(kind in CORE_STOPS for kind in near) <= 1, (seed, near)
            storms[set(near) <= set(PLANNED)] += 1
    assert min(storms.values()) > 20, storms


def power_takes_what_no_sync_covered():
    found = set()
    for seed in SEEDS:
        folder = pathlib.Path(tempfile.mkdtemp(prefix="dockrock-power-"))
        data, synced = folder / "data", folder / "synced"
        data.mkdir()
        synced.mkdir()
        whole = {"same": (b"one", b"one"), "longer": (b"one", b"one, two"), "emptied": (b"old", b"fresh"),
                 "new": (None, b"new")}  # fmt: skip
        for name, (covered, written) in whole.items():
            (data / name).write_bytes(written)
            if covered is not None:
                (synced / name).write_bytes(covered)
        fates = lose_unsynced(data, synced, random.Random(seed))
        assert set(fates) == {"longer", "emptied", "new"} and (data / "same").read_bytes() == b"one"
        longer = (data / "longer").read_bytes()
        assert longer.startswith(b"one") and b"one, two".startswith(longer)
        assert fates["new"] != "gone" or not (data / "new").exists()
        assert fates["emptied"] != "gone" or (data / "emptied").read_bytes() == b"old"
        assert lose_unsynced(data, synced, random.Random(seed)) == {}  # what is there has been read: it lasts
        found |= set(fates.values())
        shutil.rmtree(folder)
    assert found == set(LATER_WRITES)


def main():
    for test in (disks_are_lost_one_at_a_time, courses_of_losses_close_with_one_of_all,
                 planned_work_comes_alone_at_times, power_takes_what_no_sync_covered):  # fmt: skip
        test()
    print(json.dumps({"soak tests of losses": "passed"}))


main()
