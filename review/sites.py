"""Settings as the platform hands them to a front node, with figures of the pages and site files."""


def settings(groups, kinds, roles, memory, release_ms, grace_ms, fronts, **told):
    """`groups`: as the configuration has them; figures in milliseconds."""
    return {
        "az": "hall-1",
        "zones": ["hall-1"],
        "discovery": "automatic",
        "family": "twostage",
        "skus": kinds,
        "grades": groups,
        "customers": [],
        "peers-total": fronts,
        "self-index": 0,
        "tick-us": told.get("tick_us", 2000),
        "family-info": {
            "role-by-kind": roles,
            "memory-tokens": memory,
            "pin-limit-us": release_ms * 1000,
            "resume": told.get("resume", False),
            "local-read": told.get("writers_read", False),
            "holds-allowed": False,
            "aim-us-per-1000-prompt-tokens": told.get("aim_per_1000", [40000.0] * len(groups)),
            "token-aim-us": told.get("token_aim", [60000.0] * len(groups)),
        },
        "policy-limits": {
            "attempts-cap": told.get("attempts", 6),
            "cancelling": True,
            "probes": False,
            "peers": False,
            "retry-after": True,
            "max-retry-after-us": 2_000_000,
            "second-copies": told.get("second_copies", True),
            "connect-timeout-us": 250_000,
            "conn-idle-us": 30_000_000,
        },
        "rules": {
            "stop-sending-within-us": grace_ms * 1000,
            "warm-up-us": 13_000_000,
            "cold-share": 0.33,
            "fall-multiple": 4.0,
            "tip-after-us": 3_000_000,
            "grace-to-answer-us": 8000,
        },
        "stats": {"fields": [], "via": "none"},
    }


def bilbao(**told):
    """`bilbao-main` of engines/sites: one replayable group, streams that go on elsewhere."""
    chat = {
        "name": "chat",
        "effect": "free",
        "goal-time-us": 1_800_000,
        "deadline-us": 7_200_000,
        "importance": 1.0,
        "late-worth": 0.3,
        "stream": True,
        "window-us": 5_000_000,
        "group": "all",
    }
    return settings(
        [chat],
        ["prefill", "decode"],
        ["read", "write"],
        [310_000, 700_000],
        300,
        1000,
        told.pop("fronts", 2),
        **{"resume": True, "aim_per_1000": [147000.0], "token_aim": [93000.0], **told},
    )


def bilbao_first(**told):
    """`bilbao-main` as first deployed: shorter targets and deadlines."""
    first = bilbao(aim_per_1000=[40000.0], token_aim=[60000.0], **told)
    first["grades"][0].update({"goal-time-us": 1_000_000, "deadline-us": 4_000_000})
    first["family-info"]["memory-tokens"] = [260_000, 180_000]
    return first


def hanoi(**told):
    """`hanoi-chat`: a replayable and a non-replayable group, no second copies, no rest of streams."""
    enquiry = {
        "name": "enquiry",
        "effect": "free",
        "goal-time-us": 1_500_000,
        "deadline-us": 6_000_000,
        "importance": 1.0,
        "late-worth": 0.2,
        "stream": True,
        "window-us": 5_000_000,
        "group": "all",
    }
    booking = {
        **enquiry,
        "name": "booking",
        "effect": "single_shot",
        "goal-time-us": 2_500_000,
        "deadline-us": 10_000_000,
        "importance": 3.0,
    }
    return settings(
        [enquiry, booking],
        ["prefill", "decode"],
        ["read", "write"],
        [210_000, 160_000],
        300,
        500,
        told.pop("fronts", 2),
        **{"token_aim": [70000.0, 80000.0], "second_copies": False, "attempts": 5, **told},
    )


def ktm(**told):
    """`ktm-scores`: replayable groups, no second copies, writers that read for themselves, a short grace."""
    live = {
        "name": "live-update",
        "effect": "free",
        "goal-time-us": 1_200_000,
        "deadline-us": 5_000_000,
        "importance": 1.0,
        "late-worth": 0.2,
        "stream": True,
        "window-us": 5_000_000,
        "group": "all",
    }
    summary = {**live, "name": "match-summary", "goal-time-us": 2_500_000, "deadline-us": 12_000_000}
    return settings(
        [live, {**summary, "importance": 2.0}],
        ["prefill", "decode"],
        ["read", "write"],
        [225_000, 155_000],
        500,
        250,
        told.pop("fronts", 2),
        **{
            "resume": True,
            "writers_read": True,
            "aim_per_1000": [40000.0, 120000.0],
            "token_aim": [60000.0, 80000.0],
            "second_copies": False,
            "attempts": 5,
            **told,
        },
    )
