"""The default settings of a node under test: two request classes, one tenant and generous limits."""

from __future__ import annotations

from typing import Any

SETTINGS: dict[str, Any] = {
    "classes": [
        {
            "name": name,
            "aim-us": 1_500_000,
            "deadline-us": 6_000_000,
            "credit": 1.0,
            "late-value": 0.2,
            "effect": effect,
            "key-scope": "all",
            "window-us": 5_000_000,
            "stream": True,
        }
        for name, effect in (("ask", "idempotent"), ("book", "at_most_once"))
    ],
    "family-info": {
        "ahead": False,
        "aim-us-per-1000-prompt-tokens": [40_000.0, 40_000.0],
        "cross-cell-price": 0.03,
        "kind-role": ["read", "write", "both"],
        "memory-tokens": [150_000, 110_000, 280_000],
        "read-in-place": False,
        "release-within-us": 300_000,
        "resume": True,
        "token-aim-us": [60_000.0, 60_000.0],
    },
    "host-types": ["prefill", "decode", "mixed"],
    "limits": {
        "cancel": True,
        "conn-idle-us": 30_000_000,
        "dial-timeout-us": 250_000,
        "max-attempts": 5,
        "max-retry-after-us": 2_000_000,
        "retry-after": True,
        "second-copies": True,
    },
    "locality": "a",
    "me": 0,
    "over-share-worth": 0.1,
    "prices": {"cross-zone": 0.011, "late-fail": 0.034, "waste": 0.08},
    "realms": [{"name": "one", "fraction": 1.0, "quota-rps": 100.0}],
    "rules": {
        "answer-slack-us": 8_000,
        "cold-from": 0.27,
        "cold-us": 14_000_000,
        "drain-grace-us": 250_000,
        "fall-us": 1_500_000,
        "tip-multiple": 2.5,
    },
    "siblings": 1,
    "zones": ["a", "b"],
}
