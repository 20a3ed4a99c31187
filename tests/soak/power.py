"""Losses of power: what a data folder holds of writes that no sync covered. Copies of the synced state are
kept by the shim for disks (fault_shim.cpp)."""

LATER_WRITES = {"gone": 0.5, "torn": 0.3, "kept": 0.2}


def torn(synced, written, chance):
    """Later bytes up to some place; of a file that was emptied meanwhile, any start of what it holds."""
    least = len(synced) if written.startswith(synced) else 0
    return written[: chance.randint(least, len(written))]


def lose_unsynced(data, synced, chance):
    """Both are folders. Returns what became of each file's later writes, by its name."""
    fates = {}
    for path in sorted(data.iterdir()) if data.is_dir() else []:
        copy = synced / path.name
        written, covered = path.read_bytes(), copy.read_bytes() if copy.exists() else None
        if written == covered:
            continue
        fate = chance.choices(list(LATER_WRITES), list(LATER_WRITES.values()))[0]
        fates[path.name] = fate
        if fate == "gone" and covered is None:
            path.unlink()
        elif fate == "gone":
            path.write_bytes(covered)
        elif fate == "torn":
            path.write_bytes(torn(covered or b"", written, chance))
    for path in sorted(data.iterdir()) if data.is_dir() else []:  # what is on the disk now lasts
        (synced / path.name).write_bytes(path.read_bytes())
    return fates
