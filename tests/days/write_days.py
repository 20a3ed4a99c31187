#!/usr/bin/env python3
"""Writes days of trouble for a site file, a file each, the same ones for the same seed.

write_days.py SITE FOLDER [--kinds FILE] [--seed N] [--sets NAME,...]
"""

import argparse
import pathlib
import random
import sys

from day import day_text
from families import FAMILIES
from halves import beyond, halves
from moments import alone, closings, mixes, pairs
from outages import outages, stale_seeds
from site_file import read_site
from stale_news import both, stale_news
from weights import weights

LATE = {"weights": weights, "stale_news": stale_news, "both": both}
SETS = {"alone": alone, "pairs": pairs, "closings": closings, "mixes": mixes, **FAMILIES, **LATE}
SETS |= {"halves": halves, "beyond": beyond, "stale_seeds": stale_seeds, "outages": outages}


def days_of(site, seed, names):
    """The days of the named sets; each set draws from a random source of its own."""
    return [day for name in names for day in SETS[name](site, random.Random("%s %s %d" % (site.name, name, seed)))]


def main(arguments):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("site", type=pathlib.Path)
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--kinds", type=pathlib.Path, help="a saved description of the kinds, one `kind: words` a line")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sets", default=",".join(SETS))
    words = parser.parse_args(arguments)
    names = words.sets.split(",")
    unknown = [name for name in names if name not in SETS]
    if unknown:
        parser.error("unknown sets %s; known: %s" % (", ".join(unknown), ", ".join(SETS)))
    site = read_site(words.site, words.kinds)
    words.folder.mkdir(parents=True, exist_ok=True)
    days = days_of(site, words.seed, names)
    for day in days:
        (words.folder / (day.name + ".toml")).write_text(day_text(day, site), encoding="utf-8")
    print("%d days of %s written" % (len(days), site.name))


if __name__ == "__main__":
    main(sys.argv[1:])
