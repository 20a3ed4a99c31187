"""Compares measured days before and after a change, in pairs of the same site, day and seed.

Reads journal entries. A pair is a day that was run on both sides with the same seed; days on only one side are counted
and left out. Prints for each site and in total: the number of pairs, how many are better, the median, minimum and
maximum of the differences, and a verdict. It is "better" or "worse" with at least three pairs, a median beyond the
noise of a single run, and at least three of four pairs agreeing with it; otherwise "noise" or "too few pairs".
Usage: compare_runs.py --before ENTRY ... --after ENTRY ... [--noise 0.03]
"""

import argparse
import json
import statistics
import sys

NOISE = 0.03
LEAST_PAIRS = 3
LEAST_AGREEING = 0.75


class UnreadableEntry(Exception):
    """Raised, with the reason, for an entry that cannot be used."""


def read_days(path):
    """The days of one entry: {(site, day, seed): score}."""
    try:
        with open(path) as file:
            entry = json.load(file)
    except OSError as problem:
        raise UnreadableEntry("%s: %s" % (path, problem.strerror)) from problem
    except ValueError as problem:
        raise UnreadableEntry("%s is cut or damaged: %s" % (path, problem)) from problem
    if not isinstance(entry, dict) or not isinstance(entry.get("days"), list):
        raise UnreadableEntry("%s has no list of days" % path)
    found = {}
    for day in entry["days"]:
        try:
            key = (entry["site"], day["name"], day["seed"])
            score = day["score"]
        except (KeyError, TypeError) as problem:
            raise UnreadableEntry("%s: a day without %s" % (path, problem)) from problem
        if key[2] is not None and isinstance(score, (int, float)):  # randomly drawn days have no seed to pair by
            found[key] = float(score)
    return found


def read_side(paths):
    """All days of the entries; a day that was run more than once counts with the mean of its runs."""
    plays = {}
    for path in paths:
        for key, score in read_days(path).items():
            plays.setdefault(key, []).append(score)
    return {key: statistics.fmean(scores) for key, scores in plays.items()}


def verdict_of(differences, noise=NOISE):
    if len(differences) < LEAST_PAIRS:
        return "too few pairs"
    median = statistics.median(differences)
    if abs(median) <= noise:
        return "noise"
    agreeing = sum(1 for difference in differences if difference * median > 0)
    if agreeing < LEAST_AGREEING * len(differences):
        return "noise"
    return "better" if median > 0 else "worse"


def pairs_of(before, after):
    """[(key, before, after)] of the days on both sides, and the number of days on only one side."""
    both = sorted(set(before) & set(after), key=str)
    return [(key, before[key], after[key]) for key in both], len(set(before) ^ set(after))


def row_of(name, differences, noise):
    better = sum(1 for difference in differences if difference > 0)
    return "%s: %d pairs, %d better, median %+.3f (%+.3f to %+.3f): %s" % (
        name, len(differences), better, statistics.median(differences), min(differences), max(differences),
        verdict_of(differences, noise))


def write_table(pairs, alone, noise, out):
    by_site = {}
    for (site, day, seed), old, new in pairs:
        out.write("%s %s (seed %s): %.3f -> %.3f, %+.3f\n" % (site, day, seed, old, new, new - old))
        by_site.setdefault(site, []).append(new - old)
    for site, differences in sorted(by_site.items()):
        out.write(row_of(site, differences, noise) + "\n")
    if len(by_site) > 1:
        out.write(row_of("all", [value for differences in by_site.values() for value in differences], noise) + "\n")
    if alone:
        out.write("%d days were run on one side only and are left out\n" % alone)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--before", nargs="+", required=True, metavar="ENTRY")
    parser.add_argument("--after", nargs="+", required=True, metavar="ENTRY")
    parser.add_argument("--noise", type=float, default=NOISE, help="largest difference that counts as noise")
    chosen = parser.parse_args()
    try:
        pairs, alone = pairs_of(read_side(chosen.before), read_side(chosen.after))
    except UnreadableEntry as problem:
        sys.exit("compare_runs: %s" % problem)
    if not pairs:
        sys.exit("compare_runs: no day was run on both sides with the same seed")
    write_table(pairs, alone, chosen.noise, sys.stdout)


if __name__ == "__main__":
    main()
