"""Faults of a stand-in engine that commands switch on and off while the engine runs."""

from __future__ import annotations

from collections.abc import Callable
from typing import cast

import anyio

from runspool.lab.engine_model import EngineModel
from runspool.lab.rate_limiting import RateLimit, RateLimiter
from runspool.lab.response_faults import FAILED_500, RESPONSE_FAULTS, SILENT

FaultSetting = str | float | None  # value of a setting in a command, as decoded from JSON
NO_CONNECTION_LIMIT = 100_000  # connections; more than any scenario opens to one engine


class ActiveFaults:
    """The faults that are active at one engine.

    The command "row" injects one of RESPONSE_FAULTS into a share of the responses, "tariff" makes a share of
    the requests of one class fail or remain unanswered, and "throttle" limits the rate of a class or a
    tenant. The commands "slow" and "links" slow down the engine and its network, "forget" evicts from the
    prefix cache, "connections" limits the open connections, and "hang" stops the engine until it is switched
    off.

    Attributes:
        max_connections: how many connections may be open; further ones are closed at once.
        rate_limiter: the rate limits for tenants and request classes.
    """

    def __init__(self, model: EngineModel) -> None:
        self.max_connections = NO_CONNECTION_LIMIT
        self.rate_limiter = RateLimiter()
        self._model = model
        self._resumed = anyio.Event()
        self._resumed.set()
        self._response_fault_shares: dict[str, float] = {}
        self._failing_classes: dict[str, tuple[str, float]] = {}  # ("silence" or "error", share of requests)
        self._setters: dict[str, Callable[[dict[str, FaultSetting]], None]] = {
            "hang": self._set_hang,
            "slow": self._set_slowdown,
            "links": self._set_network_slowdown,
            "forget": self._evict_cache,
            "row": self._set_response_fault,
            "tariff": self._set_failing_class,
            "throttle": self._set_rate_limit,
            "connections": self._limit_connections,
        }

    def apply(self, name: str, settings: dict[str, FaultSetting]) -> None:
        """Apply a command: switch the fault `name` on or off as its settings say.

        Raises:
            ValueError: there is no such fault.
            KeyError: a setting is missing.
        """
        setter = self._setters.get(name)
        if setter is None:
            raise ValueError(f"unknown fault {name!r}; known are {', '.join(self._setters)}")
        setter(settings)

    async def wait_until_resumed(self) -> None:
        """Wait while the engine hangs; return at once if it does not."""
        await self._resumed.wait()

    def draw_response_fault(self, request_class: str, draw: Callable[[], float]) -> str:
        """Return the response fault to inject for a request, or an empty string for none.

        `draw` returns a random number from 0 to 1.
        """
        for fault, share in self._response_fault_shares.items():
            if draw() < share:
                return fault
        mode, share = self._failing_classes.get(request_class, ("", 0.0))
        if share and draw() < share:
            return SILENT if mode == "silence" else FAILED_500
        return ""

    def _set_hang(self, settings: dict[str, FaultSetting]) -> None:
        if settings["on"]:
            self._resumed = anyio.Event()
        else:
            self._resumed.set()

    def _set_slowdown(self, settings: dict[str, FaultSetting]) -> None:
        self._model.slowdown = _number(settings["times"])

    def _set_network_slowdown(self, settings: dict[str, FaultSetting]) -> None:
        self._model.network_slowdown = _number(settings["times"])

    def _evict_cache(self, settings: dict[str, FaultSetting]) -> None:
        self._model.evict(_number(settings["share"]))

    def _set_response_fault(self, settings: dict[str, FaultSetting]) -> None:
        fault = cast(str, settings["row"])
        if fault not in RESPONSE_FAULTS:
            raise ValueError(f"unknown response fault {fault!r}; known are {', '.join(RESPONSE_FAULTS)}")
        self._response_fault_shares[fault] = _number(settings["share"])

    def _set_failing_class(self, settings: dict[str, FaultSetting]) -> None:
        mode = cast(str, settings["how"])
        share = _number(settings["share"])
        self._failing_classes[cast(str, settings["tariff"])] = (mode, share)

    def _set_rate_limit(self, settings: dict[str, FaultSetting]) -> None:
        if settings["per_second"] is None:
            self.rate_limiter.limits.pop(cast(str, settings["whose"]), None)
            return
        limit = RateLimit(_number(settings["per_second"]), int(cast(float, settings["say_after"])))
        self.rate_limiter.limits[cast(str, settings["whose"])] = limit

    def _limit_connections(self, settings: dict[str, FaultSetting]) -> None:
        self.max_connections = int(cast(float, settings["most"]))


def _number(setting: FaultSetting) -> float:
    """Return a setting that must be a number."""
    return float(cast(float, setting))
