"""Queries this machine's package database: files, hard dependencies, owners. Recommendations are ignored."""

import dataclasses
import os
import re
import subprocess

FIELDS = ("Package", "Depends", "Pre-Depends", "Provides", "Essential", "db:Status-Status")


@dataclasses.dataclass
class Package:
    """An installed package; each dependency is a list of alternatives in the order given."""

    depends: list
    provides: list
    essential: bool


def names(text):
    """The names in a list of the package database, without versions and architectures."""
    return [re.split(r"[ (:\[]", part.strip())[0] for part in text.split(",") if part.strip()]


def dependencies(text):
    return [names(part.replace("|", ",")) for part in text.split(",") if part.strip()]


class Database:
    """The installed packages according to dpkg."""

    def __init__(self, packages, files):
        self.packages = packages
        self.files = files
        self.providers = {}
        for name, package in packages.items():
            for provided in package.provides:
                self.providers.setdefault(provided, []).append(name)

    def chosen(self, alternatives):
        """The installed package that satisfies a dependency; earlier alternatives take precedence. None: none does."""
        for name in alternatives:
            if name in self.packages:
                return name
            for provider in sorted(self.providers.get(name, [])):
                return provider
        return None

    def closure(self, listed):
        """The listed and the essential packages with all their dependencies, and the names that were not found."""
        found, absent = set(), []
        waiting = [[name] for name in listed]
        waiting += [[name] for name, package in self.packages.items() if package.essential]
        while waiting:
            alternatives = waiting.pop()
            name = self.chosen(alternatives)
            if name is None:
                absent.append(" | ".join(alternatives))
            elif name not in found:
                found.add(name)
                waiting += self.packages[name].depends
        return found, absent

    def owners(self, paths):
        """Maps each path that belongs to an installed package to that package."""
        wanted, owner = set(paths), {}
        for name in sorted(self.packages):
            for path in wanted & self.files[name]:
                owner[path] = name
        return owner


def usual(path):
    """The path with symbolic links resolved in its directories, but not in its last component."""
    folder, name = os.path.split(os.path.normpath(path))
    return os.path.join(os.path.realpath(folder), name)


def file_lists(packages):
    """The files of each package, from one dpkg call whose output has an empty line between packages."""
    told = subprocess.run(["dpkg", "-L"] + packages, capture_output=True, text=True, check=True).stdout
    folders, files = {}, {}
    for name, block in zip(packages, told.split("\n\n"), strict=True):
        files[name] = set()
        for path in block.splitlines():
            folder, last = os.path.split(path)
            if folder not in folders:
                folders[folder] = os.path.realpath(folder or "/")
            files[name].add(os.path.join(folders[folder], last))
    return files


def installed():
    """Reads the package database of this machine."""
    form = "\\t".join("${%s}" % field for field in FIELDS) + "\\n"
    table = subprocess.run(["dpkg-query", "-W", "-f", form], capture_output=True, text=True, check=True).stdout
    packages = {}
    for line in table.splitlines():
        name, depends, before, provides, essential, status = line.split("\t")
        if status == "installed":
            needed = dependencies(depends) + dependencies(before)
            packages[name] = Package(needed, names(provides), essential == "yes")
    return Database(packages, file_lists(list(packages)))
