"""Checks that the packages of deploy/system.toml, with their dependencies, are sufficient to build the product.

Compared with the files of those packages are: each tool that the build command runs, each system file that CMake
reads or links when it configures the product (a fresh configuration takes seconds), and each system header that the
product's objects include (from the dependencies recorded by an earlier build; nothing is compiled here).
Usage: check_packages.py BUILD-FOLDER
"""

import os
import pathlib
import re
import shlex
import subprocess
import sys
import tempfile
import tomllib

import system_packages

ROOT = pathlib.Path(__file__).resolve().parent.parent
GENERATOR_TOOLS = {"Unix Makefiles": "make", "Ninja": "ninja"}
USUAL_GENERATOR = "Unix Makefiles"
SHELL_BUILTINS = {"cd", "mkdir", "rm", "set", "export", "true"}


def steps(build):
    """The commands of a build line, each split into words."""
    return [shlex.split(part) for part in re.split(r"&&|\|\||;|\|", build) if part.strip()]


def tools(build):
    """The programs that the build line starts, including the generator's."""
    wanted = set()
    for words in steps(build):
        wanted.add(words[0])
        if words[0] == "cmake" and "--build" not in words:
            given = [words[at + 1] for at, word in enumerate(words) if word == "-G"]
            given += [word[2:] for word in words if word.startswith("-G") and len(word) > 2]
            wanted.add(GENERATOR_TOOLS[given[0] if given else USUAL_GENERATOR])
    return wanted - SHELL_BUILTINS


def is_system(path):
    """Whether a path belongs to the system rather than to the project or its build."""
    return path.startswith(("/usr/", "/lib", "/etc/", "/opt/", "/bin/")) and not path.startswith(str(ROOT))


def configure(build):
    """The Ninja files of a fresh configuration with the options of the build line."""
    words = next(words for words in steps(build) if words[0] == "cmake" and "--build" not in words)
    # Without unity builds: the same sources are compiled one by one, as in the build whose dependencies are read.
    kept = [word for word in words[1:] if word.startswith("-D") and not word.startswith("-DCMAKE_UNITY_BUILD")]
    with tempfile.TemporaryDirectory() as folder:
        command = ["cmake", "-S", str(ROOT), "-B", folder, "-G", "Ninja"] + kept
        subprocess.run(command, check=True, capture_output=True, text=True)
        files = ("build.ninja", "CMakeFiles/rules.ninja")  # inputs and outputs; the programs that are run
        return "\n".join(pathlib.Path(folder, name).read_text() for name in files)


def plan_files(plan):
    """The system files read by the configuration, those on the link lines, and the compiler and linker programs."""
    named = set(re.findall(r"(?<![\w./-])(/[\w./+-]+)", plan))
    named.discard("/usr/bin/ninja")  # used by this check; `tools` has the generator of the build line
    return {path for path in named if is_system(path) and os.path.isfile(path)}


def plan_objects(plan):
    """The compiler's outputs: object files and precompiled headers."""
    return set(re.findall(r"^build (\S+\.(?:o|gch)):", plan, re.MULTILINE))


def object_headers(dependencies, objects):
    """The system headers of these objects, from the output of `ninja -t deps`, and the objects missing there."""
    headers, seen, ours = set(), set(), False
    for line in dependencies.splitlines():
        if line and not line.startswith(" "):
            name = line.split(":")[0]
            ours = name in objects
            seen |= {name} & objects
        elif ours and is_system(line.strip()):
            headers.add(line.strip())
    return headers, objects - seen


def gaps(database, listed, wanted):
    """Messages on the wanted files that the listed packages do not contain, with the package that owns each."""
    found, absent = database.closure(listed)
    present = set()
    for name in found:
        present |= database.files[name]
    missing = {system_packages.usual(path) for path in wanted} - present
    owner = database.owners(missing)
    linked = {path for path in missing if path not in owner and os.path.realpath(path) in present}
    problems = ["the package %s is not installed here and cannot be checked" % name for name in absent]
    for path in sorted(missing - linked):
        problems.append("%s is in no listed package; it belongs to %s" % (path, owner.get(path, "no package")))
    return problems


def read_dependencies(folder):
    """The recorded dependencies of each object of the build in this folder."""
    command = ["ninja", "-C", str(folder), "-t", "deps"]
    return subprocess.run(command, capture_output=True, text=True, check=True).stdout


def list_faults(listed, more, printed):
    """Checks the package lists: no duplicates, and scripts/packages.sh prints what the files contain."""
    problems = ["%s is in both .ci/packages and deploy/system.toml" % name for name in sorted(set(listed) & set(more))]
    if printed != listed + more:
        problems.append("scripts/packages.sh prints a different list than the files contain")
    return problems


def find_gaps(deploy, dependencies, database):
    """All problems found, and a summary of what was checked."""
    listed, build = deploy["packages"], deploy["build"]
    plan, named = configure(build), tools(build)
    headers, unknown = object_headers(dependencies, plan_objects(plan))
    files = plan_files(plan)
    bad = ["%s was not compiled in this build folder" % name for name in sorted(unknown)]
    if not headers or not files:
        bad.append("no headers or no configured files were found")
    bad += gaps(database, listed, headers | files | {"/usr/bin/" + name for name in named})
    seen = "%d headers, %d configured files, tools %s" % (len(headers), len(files), " ".join(sorted(named)))
    return bad, seen


def main(folder):
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    more = (ROOT / ".ci" / "packages").read_text().split()
    printed = subprocess.run(["bash", str(ROOT / "scripts" / "packages.sh")], capture_output=True, text=True).stdout
    bad, seen = find_gaps(deploy, read_dependencies(folder), system_packages.installed())
    bad += list_faults(deploy["packages"], more, printed.split())
    for item in bad:
        print(item)
    print("packages: %s (%s)" % ("complete" if not bad else "%d gaps" % len(bad), seen))
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1] if len(sys.argv) > 1 else "build"))
