"""Soaks a fleet of real processes on loopback in troubles that overlap, drawn from a seed; docs/soak.md.

    python3 tests/soak/soak.py --seed 7 --shape mixed --seconds 40
    python3 tests/soak/soak.py --seeds 1-20 --shape core
    python3 tests/soak/soak.py --planted stale     # a careless node, which must be found out

Exit: 0 where no rule was broken (or the planted fault was found), 1 where one was, 2 for a wrong call."""

import argparse
import json
import pathlib
import resource
import sys
import tempfile

from addresses import net_of
from course import SHAPES
from paths import ROOT
from planted import NODE, PLANTED, found_out
from run import Run
from soak_verdict import STORIES, broken_rules

DESCRIPTORS = 16_384  # of the driver: its callers are thousands
LIVE_STATES = {"held": "kept", "BROKEN": "BROKEN", "not judged": "not exercised"}


def replay(options, seed):
    words = ["python3 tests/soak/soak.py", "--seed %d" % seed, "--shape " + options.shape,
             "--seconds %g" % options.seconds, "--edges %d --cores %d" % (options.edges, options.cores)]  # fmt: skip
    words += [flag for flag, given in (("--long-bodies", options.long_bodies), ("--hasty", options.hasty)) if given]
    return " ".join(words + (["--planted " + options.planted] if options.planted else []))


def tell(run, lines, seen, options, seed):
    began = run.fleet.began
    print("seed %d, shape %s" % (seed, options.shape))
    for trouble in sorted(run.timeline, key=lambda item: item["began"]):
        whom = " ".join(trouble["whom"] or ["nobody free"])
        times = ((trouble["began"] - began) / 1000, (trouble["ended"] - began) / 1000)
        print("  %7.2f - %7.2f  %-22s %s" % (*times, trouble["kind"], whom[:120]))
    for line in lines:
        print("  %-11s %-14s %d judged, %d broken" % (line["rule"], LIVE_STATES[line["state"]], line["judged"],
                                                     line["broken"]))  # fmt: skip
        if line["state"] == "BROKEN":
            for what in line["first"][:STORIES]:
                print("      " + what)
            for name, steps in line["stories"].items():
                print("      story of %s:" % name)
                for at, what in steps:
                    print("        %7.2f  %s" % ((at - began) / 1000, what))
    print("  exercised: " + json.dumps(seen))
    print("  files: %s" % run.fleet.kept)
    print("  again: " + replay(options, seed))


def soak(options, seed):
    node = None
    if options.planted:
        fault, options.shape, rule, words = PLANTED[options.planted]
        node = NODE + [fault] if fault else None
    folder = pathlib.Path(options.folder or tempfile.mkdtemp(prefix="dockrock-soak-")) / (
        "%s-%d%s" % (options.shape, seed, "-" + options.planted if options.planted else "")
    )
    run = Run(folder, options, seed, node)
    try:
        lines, seen = run.whole()
    except (TimeoutError, RuntimeError) as failure:
        print("seed %d: %s: %s, files in %s" % (seed, type(failure).__name__, failure, run.fleet.kept))
        return ["%s: %s" % (type(failure).__name__, failure)]
    tell(run, lines, seen, options, seed)
    broken = broken_rules(lines)
    if options.planted:
        found = found_out(options.planted, lines)
        print("seed %d: planted %s, broken %s, %s: '%s' %s" % (
            seed, options.planted, broken, rule, words, "found" if found else "MISSED"))  # fmt: skip
        return [] if found else [options.planted + " was not found out"]
    print("seed %d, %s: %s" % (seed, options.shape, "BROKEN: " + ", ".join(broken) if broken else "no rule broken"))
    sys.stdout.flush()
    return broken


def read_options():
    parser = argparse.ArgumentParser(description="Soaks a fleet on loopback; docs/soak.md")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", help="FIRST-LAST, one after the other")
    parser.add_argument("--shape", default="mixed", choices=sorted(SHAPES))
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--edges", type=int, default=5)
    parser.add_argument("--cores", type=int, default=4)
    parser.add_argument("--net", type=int, help="third part of the loopback addresses")
    parser.add_argument("--build", default="build")
    parser.add_argument("--folder", default="", help="where logs are kept; otherwise a new folder")
    parser.add_argument("--long-bodies", action="store_true", help="more of them than an edge may hold")
    parser.add_argument("--hasty", action="store_true", help="successors do not await the end before")
    parser.add_argument("--planted", choices=sorted(PLANTED), help="a careless node, which must be found out")
    return parser.parse_args()


def main():
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
    options = read_options()
    first, _, last = (options.seeds or str(options.seed)).partition("-")
    if not first.isdigit() or not (last or first).isdigit():
        print("--seeds takes FIRST-LAST")
        return 2
    if not options.planted and not (ROOT / options.build / "dockrock-platform-node").exists():
        print("dockrock-platform-node is not built in " + options.build)
        return 2
    broken, net = {}, options.net
    for seed in range(int(first), int(last or first) + 1):
        options.net = net_of(options.shape, seed, options.planted) if net is None else net
        if found := soak(options, seed):
            broken[seed] = found
    for seed, rules in broken.items():
        print("seed %d: %s; again: %s" % (seed, ", ".join(rules), replay(options, seed)))
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
