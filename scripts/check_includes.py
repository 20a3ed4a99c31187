"""Checks the layering of includes: a source folder includes only its own files and those of lower layers.

LAYERS lists the layers from the lowest up. The groups of one layer must not include each other; the folders within a
group may, until they are merged into one folder. KNOWN_VIOLATIONS lists exceptions; any other violation fails,
and so does a listed one that no longer exists. docs/design.md section 2.
Usage: check_includes.py [ROOT]
"""

import pathlib
import re
import sys

LAYERS = (
    (("source/base",),),
    (("source/membership",), ("source/consensus",)),
    (("source/sequence", "source/version"),),  # to be source/configuration
    (("source/control",),),
    (("source/scheduling", "source/ticket"),),  # all of it to be source/scheduling
    (("source/request",),),
    (("source/connection", "source/process"),),  # to be source/proxy, and source/node above it
    (("platform",), ("programs",)),
)
KNOWN_VIOLATIONS = {
    ("source/control/snapshot.hpp", "source/ticket/replica_load_table.hpp"),  # the replica list's own text
    ("source/sequence/plan.cpp", "source/control/control.hpp"),  # which partition holds a service
}
INCLUDE = re.compile(r'^\s*#\s*include\s+"([^"]+)"', re.MULTILINE)


def layer_of(path, layers):
    """The number of the layer that contains a path, and its group; None for files outside of all layers."""
    for number, groups in enumerate(layers):
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


def find_violations(root, layers=LAYERS, known=frozenset(KNOWN_VIOLATIONS)):
    """The violations found, and the number of includes checked."""
    bad, seen, count = [], set(), 0
    for includer, named, included in includes(root):
        count += 1
        if included is None:
            bad.append('%s includes "%s", which is not found' % (includer, named))
            continue
        lower, upper = layer_of(included, layers), layer_of(includer.as_posix(), layers)
        if lower is None or upper is None:
            outsider = included if lower is None else includer
            bad.append("%s is in no layer" % outsider)
            continue
        if lower[1] == upper[1] or lower[0] < upper[0]:
            continue
        pair = (includer.as_posix(), included)
        seen.add(pair)
        if pair not in known:
            bad.append("%s includes %s: a higher layer, or a sibling group" % pair)
    bad += ["%s no longer includes %s: remove it from the list" % pair for pair in sorted(known - seen)]
    return sorted(set(bad)), count


def main(root):
    bad, count = find_violations(root)
    for item in bad:
        print(item)
    known = ", %d known violations" % len(KNOWN_VIOLATIONS) if KNOWN_VIOLATIONS else ""
    print("includes: %s (%d checked%s)" % ("layering kept" if not bad else "%d wrong" % len(bad), count, known))
    return 1 if bad else 0


if __name__ == "__main__":
    here = pathlib.Path(__file__).resolve().parent.parent
    sys.exit(main(pathlib.Path(sys.argv[1]) if len(sys.argv) > 1 else here))
