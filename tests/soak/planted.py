"""Careless nodes that a soak must find out: the node's argument (nothing: the real node), the shape, the rule that
it must break, its words."""

import sys

from paths import ROOT

NODE = [sys.executable, str(ROOT / "tests" / "platform" / "careless_node.py")]
PLANTED = {
    "twice": ("twice", "mixed", "TWICE", "ran more than once"),
    "stale": ("stale", "configuration", "CONFIG", "was acknowledged longer ago than the bound"),
    "late_news": ("stale", "configuration", "CONFIG", "though allowed"),
    "races": ("none", "core", "CONFIG", "two acknowledged on top of one"),
    "old_weights": ("none", "weights", "VERSION", "begun on 1"),
    "forgets": ("forgets", "core", "LOST", "acknowledged"),
    "passes_on": ("none", "answers", "MIXED", "no answer"),
    "hangs_up": ("hangs_up", "losses", "ENDS", "with -1"),
    "drops": ("none", "losses", "LOST", "by the planned stop of"),
    "lingers": ("lingers", "losses", "STOPS", "after SIGTERM with None"),
    "unsynced": (None, "losses", "LOST", "does not come"),  # a sound node on disks that sync nothing
    "falls": ("falls", "mixed", "ENDS", "ended by itself"),
}


def found_out(name, lines):
    """Whether the rule that the fault is there to break was broken, in the words meant for it."""
    _, _, rule, words = PLANTED[name]
    return any(line["rule"] == rule and any(words in what for what in line["first"]) for line in lines)
