"""Settings of small deployments, as an instance is told them: figures of the site files, within the ranges
that they give."""


def settings(site, fronts=2):
    """A new map of the settings of `site`, a site file's name."""
    return {**COMMON, **SITES[site](), "peers-total": fronts}


COMMON = {
    "az": "a",
    "zones": ["a"],
    "family": "twostage",
    "discovery": "automatic",
    "self-index": 0,
    "tier": 0,
    "worth-by": "work",
    "customers": [],
}


def _limits(**more):
    return {
        "attempts-cap": 6,
        "cancelling": True,
        "conn-idle-us": 30_000_000,
        "connect-timeout-us": 250_000,
        "cpu-us-per-s": 500_000,
        "max-open": 20_000,
        "max-retry-after-us": 2_000_000,
        "peers": False,
        "probes": False,
        "retry-after": True,
        "second-copies": True,
        "streams-per-conn": 32,
        **more,
    }


def _group(name, effect, goal_ms, deadline_ms, importance, **more):
    return {
        "name": name,
        "effect": effect,
        "goal-time-us": goal_ms * 1000,
        "deadline-us": deadline_ms * 1000,
        "importance": importance,
        "late-worth": 0.3,
        "group": "all",
        "window-us": 5_000_000,
        "stream": True,
        **more,
    }


def _bilbao():
    return {
        "layers": ["chat-fleet"],
        "skus": ["prefill", "decode"],
        "tick-us": 2000,
        "weight-source": "none",
        "grades": [_group("chat", "free", 1800, 7200, 1.0)],
        "family-info": {
            "aim-us-per-1000-prompt-tokens": [147_000.0],
            "token-aim-us": [93_000.0],
            "role-by-kind": ["read", "write"],
            "memory-tokens": [310_000, 700_000],
            "pin-limit-us": 300_000,
            "holds-allowed": True,
            "local-read": False,
            "resume": True,
            "report-x0": "share of memory that is held",
        },
        "policy-limits": _limits(),
        "stats": {"fields": ["outstanding", "x0"], "via": "answers"},
        "rules": {
            "cold-share": 0.33,
            "warm-up-us": 13_000_000,
            "fall-multiple": 4.0,
            "tip-after-us": 3_000_000,
            "stop-sending-within-us": 1_000_000,
            "grace-to-answer-us": 8000,
            "must-ask-in-us": 10_000_000,
        },
    }


def _mvd():
    return {
        "layers": ["asistente"],
        "skus": ["lectura", "respuesta"],
        "tick-us": 4000,
        "weight-source": "rough",
        "grades": [
            _group("consulta", "free", 1000, 5000, 1.0),
            _group("multa", "free", 3000, 15_000, 3.0, **{"late-worth": 0.1}),
        ],
        "family-info": {
            "aim-us-per-1000-prompt-tokens": [60_000.0, 120_000.0],
            "token-aim-us": [50_000.0, 80_000.0],
            "role-by-kind": ["read", "write"],
            "memory-tokens": [220_000, 170_000],
            "pin-limit-us": 500_000,
            "holds-allowed": False,
            "local-read": False,
            "resume": False,
        },
        "policy-limits": _limits(**{"second-copies": False, "cpu-us-per-s": 400_000}),
        "stats": {"fields": [], "via": "none"},
        "rules": {
            "cold-share": 0.25,
            "warm-up-us": 14_000_000,
            "fall-multiple": 2.5,
            "tip-after-us": 1_000_000,
            "stop-sending-within-us": 250_000,
            "grace-to-answer-us": 16_000,
            "must-ask-in-us": 10_000_000,
        },
    }


SITES = {"bilbao-main": _bilbao, "estacionamiento-mvd": _mvd}
