"""Does a machine with only the packages of deploy/system.toml, and what they depend on, build the product?

Compared with the files of those packages: each tool that the build command names or takes by itself, each system
file that configuring the product reads or links (from a fresh configuration, in seconds), and each system header
that the product's objects read (from the dependencies that an earlier build left; nothing is compiled here).
Use: check_packages.py BUILD-FOLDER
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
SHELL_WORDS = {"cd", "mkdir", "rm", "set", "export", "true"}


def steps(build):
    """The commands of a build line, each as its words."""
    return [shlex.split(part) for part in re.split(r"&&|\|\||;|\|", build) if part.strip()]


def tools(build):
    """The programs that the build line starts, the generator's among them."""
    wanted = set()
    for words in steps(build):
        wanted.add(words[0])
        if words[0] == "cmake" and "--build" not in words:
            given = [words[at + 1] for at, word in enumerate(words) if word == "-G"]
            given += [word[2:] for word in words if word.startswith("-G") and len(word) > 2]
            wanted.add(GENERATOR_TOOLS[given[0] if given else USUAL_GENERATOR])
    return wanted - SHELL_WORDS


def is_system(path):
    """Whether a path is the machine's, not the project's or the build's."""
    return path.startswith(("/usr/", "/lib", "/etc/", "/opt/", "/bin/")) and not path.startswith(str(ROOT))


def configured(build):
    """The build plan of the product alone, freshly configured as the build line does, for Ninja."""
    words = next(words for words in steps(build) if words[0] == "cmake" and "--build" not in words)
    # The units are the same ones, each compiled by itself: so they are in an earlier build's dependencies.
    kept = [word for word in words[1:] if word.startswith("-D") and not word.startswith("-DCMAKE_UNITY_BUILD")]
    with tempfile.TemporaryDirectory() as folder:
        command = ["cmake", "-S", str(ROOT), "-B", folder, "-G", "Ninja"] + kept
        subprocess.run(command, check=True, capture_output=True, text=True)
        files = ("build.ninja", "CMakeFiles/rules.ninja")  # what is read and made, and with which programs
        return "\n".join(pathlib.Path(folder, name).read_text() for name in files)


def plan_files(plan):
    """The system files that configuring reads, that the link lines name, and the compiler's and linker's programs."""
    named = set(re.findall(r"(?<![\w./-])(/[\w./+-]+)", plan))
    named.discard("/usr/bin/ninja")  # this check's own; the generator of the build line is among its tools
    return {path for path in named if is_system(path) and os.path.isfile(path)}


def plan_objects(plan):
    """What the compiler makes: object files and prepared headers."""
    return set(re.findall(r"^build (\S+\.(?:o|gch)):", plan, re.MULTILINE))


def object_headers(dependencies, objects):
    """The system headers of these objects in what `ninja -t deps` prints; second, the objects it does not know."""
    headers, met, ours = set(), set(), False
    for line in dependencies.splitlines():
        if line and not line.startswith(" "):
            name = line.split(":")[0]
            ours = name in objects
            met |= {name} & objects
        elif ours and is_system(line.strip()):
            headers.add(line.strip())
    return headers, objects - met


def gaps(database, listed, wanted):
    """What of the wanted files the listed packages do not bring, each with the package that would."""
    found, absent = database.closure(listed)
    present = set()
    for name in found:
        present |= database.files[name]
    missing = {system_packages.usual(path) for path in wanted} - present
    owner = database.owners(missing)
    linked = {path for path in missing if path not in owner and os.path.realpath(path) in present}
    told = ["the package %s is not installed here: nothing can be said of it" % name for name in absent]
    for path in sorted(missing - linked):
        told.append("%s is in no listed package; it belongs to %s" % (path, owner.get(path, "no package")))
    return told


def read_dependencies(folder):
    """What each object of the build in this folder read when it was compiled."""
    command = ["ninja", "-C", str(folder), "-t", "deps"]
    return subprocess.run(command, capture_output=True, text=True, check=True).stdout


def list_faults(listed, more, printed):
    """The one list: nothing named twice, and the shell's reading is the same as the file's."""
    told = ["%s stands in .ci/packages and in deploy/system.toml" % name for name in sorted(set(listed) & set(more))]
    if printed != listed + more:
        told.append("scripts/packages.sh prints another list than the files hold")
    return told


def judge(deploy, dependencies, database):
    """All that is wrong, and a line of what was looked at."""
    listed, build = deploy["packages"], deploy["build"]
    plan, named = configured(build), tools(build)
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
    bad, seen = judge(deploy, read_dependencies(folder), system_packages.installed())
    bad += list_faults(deploy["packages"], more, printed.split())
    for item in bad:
        print(item)
    print("packages: %s (%s)" % ("complete" if not bad else "%d gaps" % len(bad), seen))
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1] if len(sys.argv) > 1 else "build"))
