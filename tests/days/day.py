"""One written day: its entries in order of time, and its text."""

from dataclasses import dataclass

# Kinds that an operator plans; all others are faults.
PLANNED = frozenset(
    "bad_config big_config config_change config_race config_storm hup release revoke roll_term"
    " scale_in scale_out seed_turnover version_bump".split()
)


@dataclass(frozen=True)
class Day:
    name: str
    seed: int
    entries: tuple  # dictionaries with `kind`, `at` and the fields of the kind
    closing: dict | None = None
    length_s: float | None = None  # where the site's own length is too short

    def plan(self):
        return self.in_order(lambda entry: entry["kind"] in PLANNED)

    def faults(self):
        return self.in_order(lambda entry: entry["kind"] not in PLANNED)

    def in_order(self, wanted):
        return sorted((entry for entry in self.entries if wanted(entry)), key=lambda entry: entry["at"])


def entry(kind, at, **fields):
    """One entry of a day; times are rounded to what can be read."""
    return {"at": round(at, 2), "kind": kind, **fields}


def value_text(value):
    """A value as TOML, tables inline."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return '"%s"' % value
    if isinstance(value, dict):
        return "{ %s }" % ", ".join("%s = %s" % (key, value_text(item)) for key, item in value.items())
    if isinstance(value, (list, tuple)):
        return "[%s]" % ", ".join(value_text(item) for item in value)
    return repr(value)


def entries_text(name, entries):
    lines = ["  %s," % value_text(item) for item in entries]
    return "\n".join(["%s = [" % name, *lines, "]"]) if lines else "%s = []" % name


def day_text(day, site):
    """The day as a file of its own, loaded and judged as the site's standard day."""
    lines = ["[[day]]", 'name = "%s"' % day.name, 'slot = "trouble"', "seed = %d" % day.seed]
    if day.length_s is not None:
        lines.append("length_s = %s" % value_text(float(day.length_s)))
    if day.closing is not None:
        lines.append("closing = %s" % value_text(day.closing))
    lines += ["%s = %s" % (key, value_text(value)) for key, value in site.load.items()]
    lines += ["light = false", entries_text("plan", day.plan()), entries_text("faults", day.faults())]
    return "\n".join(lines) + "\n"
