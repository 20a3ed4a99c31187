"""A node that cannot start exits at once and reports why on standard error, whatever its log settings."""

import os
import pathlib
import socket
import subprocess
import sys
import tempfile

from node_settings import PORTS, edge_settings, platform_program

ADDRESS = "127.9.8.1"
LIMIT_S = 10


def ended(program, text, *options):
    """Exit status and standard error of a node with these settings; None: without a settings file."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.toml"
        if text is not None:
            path.write_text(text)
        done = subprocess.run(
            [program, *options],
            env={**os.environ, "DOCKROCK_NODE_FILE": str(path)},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            timeout=LIMIT_S,
            check=False,
        )
        return done.returncode, done.stderr


def busy(port):
    """A socket that occupies this port of the node's address."""
    held = socket.socket()
    held.bind((ADDRESS, port))
    held.listen(1)
    return held


def main(build):
    program = platform_program(build)
    good = edge_settings("edge-1", ADDRESS).replace("graceS = 8", "graceS = 1")  # how long it waits for an address
    cases = [
        ("no file", None, None, "cannot read"),
        ("not TOML", "nodeName = ", None, "not TOML at line 1"),
        ("a field missing", good.replace("bootstrap = true", ""), None, "/bootstrap: is missing"),
        ("a field of another type", good.replace("10.0", '"ten"'), None, "/cloud/perS: must be a number"),
        ("port between nodes in use", good, PORTS["first"], "in use"),
        ("own interface in use", good, PORTS["last"], "in use"),
        ("front in use", good, PORTS["front"], "in use"),
        ("ready in use", good, PORTS["ready"], "in use"),
    ]
    wrong = []
    for name, text, port, words in cases:
        held = busy(port) if port else None
        try:
            status, told = ended(program, text, "--log-level", "failure")
        except subprocess.TimeoutExpired:
            status, told = 0, "it did not end"
        if status == 0 or words not in told:
            wrong.append("%s: status %d, %r" % (name, status, told))
        if held:
            held.close()
    for line in wrong:
        print("start_failures_test: " + line)
    print("start_failures_test: %d passed, %d failed" % (len(cases) - len(wrong), len(wrong)))
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1] if len(sys.argv) > 1 else "build"))
