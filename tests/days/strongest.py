"""Each known kind at its strongest: the variants that are played, one day each."""

CORE_CUT_S = 20.0

CUT_WAYS = ("", "one_way", "near", "all", "seeds", "both", "lure", "reset", "refuse", "oldest")


def variants(kind, site):
    """The field sets of a kind; a kind without a table here is played as the site lists it."""
    table = STRONGEST.get(kind)
    if table is not None:
        return [fields(site) if callable(fields) else dict(fields) for fields in table]
    listed = [{key: value for key, value in item.items() if key != "kind"} for item in site.listed_as(kind)]
    return listed or [{}]


def all_bearable(**fields):
    """A trouble on as many counted machines as the site bears."""
    return lambda site: {"count": site.tolerate, **fields}


STRONGEST = {
    "after_ack_kill": [
        all_bearable(for_s=6.0, how="kill"),
        all_bearable(for_s=6.0, how=""),
        all_bearable(for_s=6.0, how="timed"),
    ],
    "after_ack_wipe": [all_bearable(for_s=4.0), all_bearable(for_s=1.0, how="oldest")],
    "ack_lost": [{"x": 1.0, "for_s": 4.0}, {"x": 0.7, "for_s": 20.0}],
    "answer_lost": [{"share": 1.0, "x": 0.1, "for_s": 10.0}, {"how": "reset", "share": 1.0, "x": 0.1, "for_s": 10.0}],
    "bad_config": [
        {"count": 4, "gap_s": 0.4, "how": how}
        for how in (
            "cut_short unknown_service same_place no_weight no_timeout old_version same_version stale_match shared_key"
        ).split()
    ],
    "big_config": [{"count": 1200}],
    "clock_step": [
        {"share": 1.0, "x": 60000.0, "for_s": 8.0, "how": "back"},
        {"share": 1.0, "x": 60000.0, "for_s": 8.0, "how": "ahead"},
    ],
    "config_change": [{"how": how} for how in "route weights timeout tenant quota idle".split()],
    "config_race": [{"count": 12, "gap_s": 0.3}],
    "config_storm": [{"for_s": 8.0, "gap_s": 0.05}],
    "core_cut": [all_bearable(for_s=CORE_CUT_S, how=("leader %s" % way).strip()) for way in CUT_WAYS],
    "disk_full": [all_bearable(for_s=10.0), all_bearable(for_s=10.0, how="leader")],
    "disk_slow": [all_bearable(x=200.0, for_s=10.0, how="leader")],
    "disk_stall": [all_bearable(for_s=10.0, how="leader"), all_bearable(for_s=10.0)],
    "events_gap": [{"share": 1.0, "for_s": 10.0}],
    "garble": [{"how": how, "share": 1.0, "x": 0.1, "for_s": 10.0} for how in ("extra late", "unframed", "early")],
    "give_up": [{"share": 0.8, "for_s": 10.0}],
    "herd_kill": [
        {"share": 0.9, "for_s": 3.0},
        {"share": 0.9, "for_s": 3.0, "how": "power"},
        {"on": "core", "share": 1.0, "for_s": 2.0, "how": "taken"},
        {"on": "core", "share": 1.0, "for_s": 2.0, "how": "power taken all"},
    ],
    "hup": [{"share": 1.0, "gap_s": 0.5}],
    "idle_race": [{"share": 1.0, "x": 50.0, "for_s": 10.0}],
    "kv_slow": [{"share": 1.0, "x": 30.0, "for_s": 10.0}],
    "node_cut": [
        {"share": 0.3, "for_s": 10.0},
        {"share": 0.3, "for_s": 10.0, "how": "all"},
        {"share": 0.3, "for_s": 10.0, "how": "servers"},
    ],
    "node_freeze": [
        {"share": 0.3, "for_s": 8.0},
        all_bearable(on="core", for_s=8.0, how="leader meet"),
        all_bearable(on="core", for_s=8.0, how="reader race"),
    ],
    "node_kill": [
        {"share": 0.4, "for_s": 5.0},
        all_bearable(on="core", for_s=8.0, how="leader race drain"),
        all_bearable(on="core", for_s=8.0, how="power reader meet hard"),
        all_bearable(on="core", for_s=4.0, how="seed"),
    ],
    "node_slow": [{"share": 0.4, "x": 10.0, "for_s": 8.0}, all_bearable(on="core", x=10.0, for_s=8.0, how="leader")],
    "release": [{"share": 1.0, "x": 3.0, "gap_s": 0.5}],
    "replace_core": [{"x": 0.2}, {"x": 2.0, "how": "oldest"}, {"how": "planned"}, {"x": 1.0, "how": "leader"}],
    "replace_with_reuse": [{"share": 0.3}, {"share": 0.3, "how": "dark"}, {"share": 0.3, "how": "drain"}],
    "reset_conns": [{"share": 1.0, "x": 1.0}],
    "retry_abuse": [{"share": 0.8, "x": 5.0, "for_s": 8.0}],
    "revoke": [{"count": 6, "gap_s": 0.3}],
    "roll_term": [
        {"share": 1.0, "x": 2.0, "gap_s": 0.4},
        {"gap_s": 0.4, "how": "busy"},
        {"on": "core", "gap_s": 1.0, "how": "leader race"},
        {"on": "core", "share": 0.25, "gap_s": 1.0, "how": "remove"},
    ],
    "scale_in": [{"share": 0.4}, {"share": 0.4, "how": "spot"}],
    "scale_out": [{"share": 1.0, "gap_s": 0.5}],
    "seed_turnover": [{}],
    "srv_cut": [{"share": 0.6, "for_s": 10.0, "how": how} for how in ("", "fronts", "one_way", "reset")],
    "version_bump": [{"count": 0}],
}
