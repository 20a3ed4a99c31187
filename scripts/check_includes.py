"""Checks the layering of includes: a source folder includes only its own files and those of lower layers.

FLOORS lists the layers from the lowest up. The groups of one layer must not include each other; the folders within a
group may, until they are merged into one folder. WAITING lists the known violations: any other one fails the check,
and so does a listed one that no longer exists. docs/design.md section 2.
Use: check_includes.py [ROOT]
"""

import pathlib
import re
import sys

FLOORS = (
    (("source/base",),),
    (("source/membership",), ("source/consensus",)),
    (("source/sequence", "source/version"),),  # to be source/configuration
    (("source/control",),),
    (("source/scheduling", "source/ticket"),),  # all of it to be source/scheduling
    (("source/request",),),
    (("source/connection", "source/process"),),  # to be source/proxy, and source/node above it
    (("platform",), ("programs",)),
)
WAITING = {
    ("source/control/snapshot.hpp", "source/ticket/burden.hpp"),  # the replica list's own text
    ("source/sequence/plan.cpp", "source/control/control.hpp"),  # which partition holds a service
}
INCLUDE = re.compile(r'^\s*#\s*include\s+"([^"]+)"', re.MULTILINE)


def floor_of(path, floors):
    """The number of the layer that contains a path, and its group; None for files outside of all layers."""
    for number, groups in enumerate(floors):
        for group in groups:
            if any(path.startswith(folder + "/") for folder in group):
                return number, group
    return None


def resolved(root, includer, named):
    """The included file, searched as the build does: next to the includer, in source/, in the root."""
    for base in (root / includer.parent, root / "source", root):
        if (base / named).is_file():
            return (base / named).resolve().relative_to(root.resolve()).as_posix()
    return None


def includes(root):
    """Yields all includes of the project's own files: includer, path as written, resolved path or None."""
    for folder in ("source", "platform", "programs"):
        for path in sorted((root / folder).rglob("*.[ch]pp")):
            includer = path.relative_to(root)
            if includer.name.startswith("precompiled_"):  # used only by the build; no source includes them
                continue
            for named in INCLUDE.findall(path.read_text()):
                yield includer, named, resolved(root, includer, named)


def judge(root, floors=FLOORS, waiting=frozenset(WAITING)):
    """The violations found, and the number of includes checked."""
    bad, met, count = [], set(), 0
    for includer, named, included in includes(root):
        count += 1
        if included is None:
            bad.append('%s includes "%s", which is not found' % (includer, named))
            continue
        below, above = floor_of(included, floors), floor_of(includer.as_posix(), floors)
        if below is None or above is None:
            stranger = included if below is None else includer
            bad.append("%s is in no layer" % stranger)
            continue
        if below[1] == above[1] or below[0] < above[0]:
            continue
        pair = (includer.as_posix(), included)
        met.add(pair)
        if pair not in waiting:
            bad.append("%s includes %s: a higher layer, or a sibling group" % pair)
    bad += ["%s no longer includes %s: remove it from the list" % pair for pair in sorted(waiting - met)]
    return sorted(set(bad)), count


def main(root):
    bad, count = judge(root)
    for item in bad:
        print(item)
    waiting = ", %d known violations" % len(WAITING) if WAITING else ""
    print("includes: %s (%d checked%s)" % ("layering kept" if not bad else "%d wrong" % len(bad), count, waiting))
    return 1 if bad else 0


if __name__ == "__main__":
    here = pathlib.Path(__file__).resolve().parent.parent
    sys.exit(main(pathlib.Path(sys.argv[1]) if len(sys.argv) > 1 else here))
