"""Checks that warnings are errors in our build, but not in the build of deploy/system.toml."""

import json
import pathlib
import shlex
import subprocess
import sys
import tempfile
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
FLAG = "-Werror"


def commands(options):
    """The compiler commands of a build configured with these options."""
    with tempfile.TemporaryDirectory() as folder:
        subprocess.run(
            ["cmake", "-S", str(ROOT), "-B", folder, "-DCMAKE_EXPORT_COMPILE_COMMANDS=ON", *options],
            stdout=subprocess.DEVNULL,
            check=True,
        )
        listed = json.loads((pathlib.Path(folder) / "compile_commands.json").read_text())
        return [shlex.split(entry["command"]) for entry in listed]


def main():
    build = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"]
    options = [word for word in shlex.split(build.split("&&")[0]) if word.startswith("-D")]
    wrong = []
    deployed, ours = commands(options), commands([])
    if not deployed or any(FLAG in command for command in deployed):
        wrong.append("the deploy build treats warnings as errors")
    if not ours or not all(FLAG in command for command in ours):
        wrong.append("our build does not treat warnings as errors")
    for line in wrong:
        print("deploy_warnings_test: " + line)
    print("deploy_warnings_test: %d passed, %d failed" % (2 - len(wrong), len(wrong)))
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
