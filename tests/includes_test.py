"""Tests scripts/check_includes.py: planted layering violations are found, known ones pass."""

import pathlib
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "scripts"))
import check_includes

LAYERS = (
    (("source/ground",),),
    (("source/left",), ("source/right",)),
    (("source/top", "source/attic"),),
    (("platform",), ("programs",)),
)
CLEAN = {
    "source/ground/times.hpp": "#include <vector>\n",
    "source/ground/times.cpp": '#include "ground/times.hpp"\n',
    "source/left/vote.hpp": '#include "ground/times.hpp"\n',
    "source/right/members.hpp": '#include "../ground/times.hpp"\n',
    "source/top/node.cpp": '#include "left/vote.hpp"\n#include "right/members.hpp"\n',
    "platform/main.cpp": '#include "platform/form.hpp"\n#include "left/vote.hpp"\n',
    "platform/form.hpp": "",
}


def violations_in(files, known=frozenset()):
    with tempfile.TemporaryDirectory() as folder:
        for name, text in files.items():
            path = pathlib.Path(folder, name)
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text)
        return check_includes.find_violations(pathlib.Path(folder), LAYERS, frozenset(known))


def only(told, words):
    assert len(told) == 1 and words in told[0], told


bad, count = violations_in(CLEAN)
assert bad == [] and count == 7, (bad, count)
up = dict(CLEAN, **{"source/ground/times.cpp": '#include "top/node.hpp"\n', "source/top/node.hpp": ""})
only(violations_in(up)[0], "source/ground/times.cpp includes source/top/node.hpp: a higher layer")
assert violations_in(up, {("source/ground/times.cpp", "source/top/node.hpp")})[0] == []
only(violations_in(CLEAN, {("source/ground/times.cpp", "source/top/node.hpp")})[0], "remove it from the list")
only(violations_in(dict(CLEAN, **{"source/left/vote.cpp": '  #  include "right/members.hpp"\n'}))[0], "a sibling group")
only(violations_in(dict(CLEAN, **{"source/ground/wire.cpp": '#include "platform/form.hpp"\n'}))[0], "a higher layer")
joined = {"source/attic/a.hpp": '#include "top/b.hpp"\n', "source/top/b.hpp": '#include "attic/a.hpp"\n'}
assert violations_in(dict(CLEAN, **joined))[0] == []
only(violations_in(dict(CLEAN, **{"source/top/gone.cpp": '#include "top/gone.hpp"\n'}))[0], "not found")
only(violations_in(dict(CLEAN, **{"source/new/a.cpp": '#include "ground/times.hpp"\n'}))[0], "is in no layer")
print("includes check: planted violations found")
