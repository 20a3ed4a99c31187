"""Tests scripts/check_packages.py: a missing package is found and named, and the complete list passes.

Use: packages_test.py BUILD-FOLDER (a finished build; nothing is compiled)
"""

import pathlib
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "scripts"))
import check_packages
import system_packages
from system_packages import Database, Package


def small_database():
    """Five packages: one that depends on a library, one that only recommends it, alternatives, an essential one."""
    packages = {
        "product-dev": Package([["library-dev"], ["absent", "second"]], [], False),
        "recommending": Package([], [], False),
        "library-dev": Package([], ["virtual"], False),
        "second": Package([], [], False),
        "shell": Package([], [], True),
    }
    files = {name: {"/usr/include/%s.h" % name} for name in packages}
    return Database(packages, files)


def closure_follows_hard_dependencies_only():
    database = small_database()
    assert database.closure(["product-dev"])[0] == {"product-dev", "library-dev", "second", "shell"}
    assert database.closure(["recommending"])[0] == {"recommending", "shell"}
    assert database.closure(["unheard-of"])[1] == ["unheard-of"]
    assert "library-dev" in database.closure(["virtual"])[0]


def planted_gap_is_named():
    database = small_database()
    wanted = {"/usr/include/library-dev.h"}
    assert check_packages.gaps(database, ["product-dev"], wanted) == []
    told = check_packages.gaps(database, ["recommending"], wanted)
    assert len(told) == 1 and told[0].endswith("belongs to library-dev"), told


def tools_of_the_build_line():
    assert check_packages.tools("cmake -S . -B t && cmake --build t -j8") == {"cmake", "make"}
    assert check_packages.tools("cmake -S . -B t -G Ninja && ninja -C t") == {"cmake", "ninja"}
    assert check_packages.tools("cmake -S . -B t -GNinja; python3 x.py") == {"cmake", "ninja", "python3"}


def tests_headers_do_not_count():
    printed = "CMakeFiles/a.cpp.o: #deps 1\n    /usr/include/a.h\n\ntests/b.cpp.o: #deps 1\n    /usr/include/b.h\n"
    objects = {"CMakeFiles/a.cpp.o", "CMakeFiles/c.cpp.o"}
    headers, unknown = check_packages.object_headers(printed, objects)
    assert headers == {"/usr/include/a.h"} and unknown == {"CMakeFiles/c.cpp.o"}


def one_list():
    assert check_packages.list_faults(["a"], ["b"], ["a", "b"]) == []
    assert len(check_packages.list_faults(["a"], ["a"], ["a", "a"])) == 1
    assert len(check_packages.list_faults(["a"], ["b"], ["a"])) == 1


def real_build_with_planted_gaps(folder):
    """Removes packages that were or could be forgotten: a header, a tool, a library's CMake files, the compiler."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    dependencies, database = check_packages.read_dependencies(folder), system_packages.installed()
    assert check_packages.find_gaps(deploy, dependencies, database)[0] == []
    for package in ("nlohmann-json3-dev", "make", "libnng-dev", "libtclap-dev", "g++"):
        kept = [name for name in deploy["packages"] if name != package]
        assert len(kept) < len(deploy["packages"]), package
        told = check_packages.find_gaps(dict(deploy, packages=kept), dependencies, database)[0]
        assert told, "the missing package %s was not noticed" % package
        print("planted gap %s: %d files missed" % (package, len(told)))


closure_follows_hard_dependencies_only()
planted_gap_is_named()
tools_of_the_build_line()
tests_headers_do_not_count()
one_list()
real_build_with_planted_gaps(sys.argv[1] if len(sys.argv) > 1 else "build")
print("packages check: planted gaps found")
