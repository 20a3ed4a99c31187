"""Runs a whole fleet through a scenario and prints a verdict for every rule.

  python3 tests/live/prove.py --deployment magnolia-junction --scenario steady --seconds 20
"""
import argparse
import pathlib
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import fleet as fleet_module
import verdict
from invariant_watch import InvariantWatch
from records import summary, wall_domains
from observe import describe
from scenarios import SCENARIOS


def run(options, scenario):
    folder = pathlib.Path(options.folder or tempfile.mkdtemp(prefix="dockrock-"))
    chosen = {"relay": scenario in ("splits",), "shim": scenario in ("sick_disks", "clocks")}
    if options.no_resting:
        chosen["settings"] = {"resting": False}
    fleet = fleet_module.Fleet(options.deployment, folder, options.build, options.port, options=chosen)
    facts = {"nodes": len(fleet.names)}
    watch = InvariantWatch(fleet.running_nodes).start()
    try:
        fleet.start()
        SCENARIOS[scenario](fleet, options, facts)
    except TimeoutError as stuck:
        describe(fleet)
        facts.setdefault("stuck", []).append(str(stuck))
    finally:
        facts["violated"] = watch.stop()
        facts["watched"] = len(watch.looked)
        facts["died"] = fleet.died()
        fleet.stop()
    once = {kind["name"] for kind in fleet.deployment["kinds"] if kind["run_once"]}
    facts.setdefault("must_judge", MUST_JUDGE.get(scenario, [1, 3, 8]) + [13])
    facts.setdefault("wall_domains", wall_domains(fleet.configuration()))
    verdicts, records = verdict.judge(folder, once, facts)
    print("== %s, %s, seed %d" % (options.deployment, scenario, options.seed))
    print(summary(records))
    for number, name, state, seen in verdicts:
        print("  %-10s  %2d %s (%s)" % (state, number, name, seen))
    broken = [number for number, _, state, _ in verdicts if state == verdict.BROKEN]
    if options.expect_broken:
        return broken == [options.expect_broken]
    return not broken


# What a scenario is there for: it fails where it did not exercise these rules.
MUST_JUDGE = {
    "steady": [1, 3, 6, 8, 10, 11],
    "kills": [1, 3, 6],
    "rolling": [1, 3, 10],
    "drains": [4, 10],
    "revoke": [5, 10],
    "weights": [9, 10, 12],
    "races": [7, 10],
    "total_loss": [12],
    "overload": [2, 11],
    "crashes": [1, 3, 11],
    "twice": [1],
    "splits": [1, 3, 6],
    "seeds_moved": [3, 6, 10],
    "back_links": [1, 3, 8],
    "pools": [10],
    "sick_disks": [1, 6],
    "clocks": [6, 10],
    "lost_disks": [6, 7],
}


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument(
        "--deployment", default="magnolia-junction", choices=["magnolia-junction", "registrikeskus-tallinn", "both"]
    )
    parser.add_argument("--scenario", default="steady", help="one of %s, or all" % ", ".join(SCENARIOS))
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--rate", type=float, default=40, help="tickets each second")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--build", default="build")
    parser.add_argument("--folder", default="")
    parser.add_argument("--no-resting", action="store_true", help="nodes are never rested")
    parser.add_argument("--expect-broken", type=int, default=0, help="the one rule that this run must break")
    parser.add_argument("--port", type=int, default=21000)
    options = parser.parse_args()
    names = (
        [name for name in SCENARIOS if name != "planted"] if options.scenario == "all" else options.scenario.split(",")
    )
    deployments = (
        ["magnolia-junction", "registrikeskus-tallinn"] if options.deployment == "both" else [options.deployment]
    )
    good = []
    for options.deployment in deployments:
        good += [run(options, name) for name in names]
    print("verdict: %s" % ("as expected" if all(good) else "a rule was broken"))
    return 0 if all(good) else 1


if __name__ == "__main__":
    sys.exit(main())
