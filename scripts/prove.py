"""Runs a whole fleet through a scenario and prints a verdict for every rule.

  python3 scripts/prove.py --deployment magnolia-junction --scenario steady --seconds 20
"""
import argparse
import pathlib
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import fleet as fleet_module
import verdict
from observe import describe
from scenarios import SCENARIOS


def run(options, scenario):
    folder = pathlib.Path(options.folder or tempfile.mkdtemp(prefix="dockrock-"))
    fleet = fleet_module.Fleet(
        options.deployment,
        folder,
        options.build,
        options.port,
        options={"settings": {"resting": False}} if options.no_resting else None,
    )
    facts = {"nodes": len(fleet.names)}
    try:
        fleet.start()
        SCENARIOS[scenario](fleet, options, facts)
    except TimeoutError as stuck:
        describe(fleet)
        facts.setdefault("stuck", []).append(str(stuck))
    finally:
        facts["died"] = fleet.died()
        fleet.stop()
    once = {kind["name"] for kind in fleet.deployment["kinds"] if kind["run_once"]}
    verdicts, records = verdict.judge(folder, once, facts)
    print("== %s, %s, seed %d" % (options.deployment, scenario, options.seed))
    print(verdict.summary(records))
    for rule, held, seen in verdicts:
        print("  %s  %s (%s)" % ("held  " if held else "BROKEN", rule, seen))
    return all(held for _, held, _ in verdicts)


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
    print("verdict: %s" % ("every rule held" if all(good) else "a rule was broken"))
    return 0 if all(good) else 1


if __name__ == "__main__":
    sys.exit(main())
