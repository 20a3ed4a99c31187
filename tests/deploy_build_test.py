"""Tests scripts/deploy_build.py: it reports builds that fail, take too long or need too much memory."""

import pathlib
import subprocess
import sys
import tempfile

SCRIPT = pathlib.Path(__file__).resolve().parent.parent / "scripts" / "deploy_build.py"


def measured(command, *options):
    """Status and output of the script for a repository with this build command."""
    with tempfile.TemporaryDirectory() as made:
        root = pathlib.Path(made)
        (root / "deploy").mkdir()
        (root / "deploy" / "system.toml").write_text("build = %r\n" % command)
        subprocess.run(["git", "init", "-q", made], check=True)
        ended = subprocess.run(
            [sys.executable, str(SCRIPT), "--root", made, *options], capture_output=True, text=True, check=False
        )
        return ended.returncode, ended.stdout


def python(text):
    return '%s -c "%s"' % (sys.executable, text)


def main():
    cases = [
        ("good", "test -f deploy/system.toml && mkdir target", (), 0, "processor time"),
        ("fails", "echo the error: no such header; exit 3", (), 1, "no such header"),
        ("killed", "echo Killed; exit 2", (), 1, "no memory left"),
        ("slow", python("[i for i in range(30000000)] and None"), ("--processor-s", "0.2"), 1, "more than 0 s"),
        ("large", python("b = bytearray(300 << 20); sum(range(30000000))"), ("--memory-mb", "200"), 1, "200 MB"),
    ]
    wrong = []
    for name, command, options, status, words in cases:
        ended, output = measured(command, *options)
        if ended != status or words not in output:
            wrong.append("%s: status %d, %r" % (name, ended, output))
    for line in wrong:
        print("deploy_build_test: " + line)
    print("deploy_build_test: %d passed, %d failed" % (len(cases) - len(wrong), len(wrong)))
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
