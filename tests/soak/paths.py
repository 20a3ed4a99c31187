"""Where the soak finds the parts that it shares with the other live tests."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
for folder in ("live", "platform"):
    sys.path.insert(0, str(ROOT / "tests" / folder))

from processes import call, wait_until  # noqa: E402,F401
