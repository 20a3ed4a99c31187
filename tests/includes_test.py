"""Tests scripts/check_includes.py: planted layering violations are found, known ones pass."""

import pathlib
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "scripts"))
import check_includes

FLOORS = (
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


def judged(files, waiting=frozenset()):
    with tempfile.TemporaryDirectory() as folder:
        for name, text in files.items():
            path = pathlib.Path(folder, name)
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text)
        return check_includes.judge(pathlib.Path(folder), FLOORS, frozenset(waiting))


def only(told, words):
    assert len(told) == 1 and words in told[0], told


bad, count = judged(CLEAN)
assert bad == [] and count == 7, (bad, count)
up = dict(CLEAN, **{"source/ground/times.cpp": '#include "top/node.hpp"\n', "source/top/node.hpp": ""})
only(judged(up)[0], "source/ground/times.cpp includes source/top/node.hpp: a higher layer")
assert judged(up, {("source/ground/times.cpp", "source/top/node.hpp")})[0] == []
only(judged(CLEAN, {("source/ground/times.cpp", "source/top/node.hpp")})[0], "remove it from the list")
only(judged(dict(CLEAN, **{"source/left/vote.cpp": '  #  include "right/members.hpp"\n'}))[0], "a sibling group")
only(judged(dict(CLEAN, **{"source/ground/wire.cpp": '#include "platform/form.hpp"\n'}))[0], "a higher layer")
joined = {"source/attic/a.hpp": '#include "top/b.hpp"\n', "source/top/b.hpp": '#include "attic/a.hpp"\n'}
assert judged(dict(CLEAN, **joined))[0] == []
only(judged(dict(CLEAN, **{"source/top/gone.cpp": '#include "top/gone.hpp"\n'}))[0], "not found")
only(judged(dict(CLEAN, **{"source/new/a.cpp": '#include "ground/times.hpp"\n'}))[0], "is in no layer")
print("includes check: planted violations found")
