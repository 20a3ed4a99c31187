"""What a site file tells about a deployment: its core, the losses it bears, the troubles it lists."""

import re
import tomllib
from dataclasses import dataclass

# Fields of a standard day that say how the day is loaded and judged; a written day takes them over.
LOAD_FIELDS = ("one", "zero", "goal", "floor_classes", "floor_zones", "labels", "small", "traffic", "wall")

DEFAULT_VERSION_MS = 15000.0  # for sites without replicas that load weights


@dataclass(frozen=True)
class Site:
    name: str
    length_s: float
    tolerate: int  # counted machines that may be lost at once
    catch_up_s: float  # how long a machine that came back still counts as lost
    version_s: float  # the bound within which work has to begin on the newest weights
    core_count: int
    load: dict  # LOAD_FIELDS of one standard day
    listed: tuple  # the entries under `troubles`
    described: tuple  # kinds named by a saved description of kinds, where one is given

    def kinds(self):
        """Every kind named anywhere, each once, in a fixed order."""
        return sorted({entry["kind"] for entry in self.listed} | set(self.described))

    def listed_as(self, kind):
        """The entries by which the site lists a kind."""
        return [entry for entry in self.listed if entry["kind"] == kind]


def described_kinds(text):
    """The kinds named by a description, one to a line: `kind: words`."""
    names = re.findall(r"^([a-z]+(?:_[a-z]+)*): ", text, re.MULTILINE)
    return tuple(dict.fromkeys(names))


def read_site(path, kinds_path=None):
    """Reads a site file and, where given, a description of kinds; raises where either is malformed."""
    with open(path, "rb") as file:
        document = tomllib.load(file)
    described = ()
    if kinds_path is not None:
        with open(kinds_path, encoding="utf-8") as file:
            described = described_kinds(file.read())
    return Site(
        name=document["name"],
        length_s=document["length_s"],
        tolerate=document["tolerate"]["machines"],
        catch_up_s=document["timing"]["catch_up_s"],
        version_s=document["timing"].get("version_ms", DEFAULT_VERSION_MS) / 1000.0,
        core_count=sum(machine["count"] for machine in document["machines"] if machine["class"] == "core"),
        load=load_of(document["day"]),
        listed=tuple(document.get("troubles", ())),
        described=described,
    )


def load_of(days):
    """The load of the first day of trouble, or of the first day if none has that slot."""
    troubled = [day for day in days if day.get("slot") == "trouble"]
    day = (troubled or days)[0]
    return {field: day[field] for field in LOAD_FIELDS if field in day}
