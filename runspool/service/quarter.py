"""One cell at one front: its own desk, so that what one cell's trouble teaches is not held against another's.

It is its desk's outbox: writes the tape, knows which engines its cell has; the front carries out the rest.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any, Protocol

from runspool.decisions.interface import HouseTerms, Listed, Outcome, Query, Roster
from runspool.front import Desk
from runspool.service.clock import now
from runspool.service.tape import Tape


class Carrier(Protocol):
    """What the front does for a cell's desk."""

    def send(self, query: int, engine: int, cap: int) -> None: ...
    def dismiss(self, query: int, hold_off: int) -> None: ...
    def scrap(self, query: int) -> None: ...
    def release(self, query: int) -> None: ...
    def move(self, query: int) -> None: ...
    def wake(self, token: str, at: int) -> None: ...
    def note(self, text: str) -> None: ...
    def forget(self, query: int) -> None: ...


class Quarter:
    def __init__(self, name: str, terms: HouseTerms, seed: int, front: Carrier, tape: Tape) -> None:
        self.name = name
        self.front = front
        self.tape = tape
        self.engines: dict[int, Listed] = {}  # as last told, those that are on or draining
        self.queries = 0
        at = now()
        self.tape.line(at, "start", seed, terms)
        self.desk = Desk(terms, seed, self, at)

    # News.

    def arrive(self, query: Query) -> None:
        self.queries += 1
        self._news("arrive", self.desk.arrive, query)

    def begun(self, query: int, shot: int, took: int) -> None:
        self._news("begun", self.desk.begun, query, shot, took)

    def closed(self, query: int, shot: int, outcome: Outcome, over: bool) -> None:
        self._news("closed", self.desk.closed, query, shot, outcome, over)

    def left(self, query: int) -> None:
        self._news("left", self.desk.left, query)

    def rang(self, token: str) -> None:
        self._news("rang", self.desk.rang, token)

    def drop(self, query: int) -> None:
        """Ends a query whose decisions failed; nothing where there is none."""
        self._news("drop", self.desk.drop, query)

    def leave(self, by: int) -> None:
        """The front is stopped on purpose, and may be killed after `by`."""
        self._news("leave", self.desk.leave, by)

    def list_lost(self) -> None:
        self._news("list_failed", self.desk.list_failed)

    def told(self, known: dict[int, Listed]) -> None:
        """The engines that the cell has now; tells the desk what has changed."""
        changed = [line for engine, line in known.items() if self.engines.get(engine) != line]
        changed += [
            replace(line, state="gone") for engine, line in self.engines.items() if engine not in known
        ]
        if not changed:
            return
        self.engines = dict(known)
        at = now()
        self.tape.line(at, "roster", False, changed)
        self.desk.roster(at, Roster(False, changed))

    def _news(self, word: str, tell: Callable[..., Any], *said: Any) -> None:
        at = now()
        self.tape.line(at, word, *said)
        tell(at, *said)

    # What the desk asks for.

    def send(self, query: int, engine: int, cap: int) -> None:
        self.tape.line(now(), "send", query, engine, cap)
        self.front.send(query, engine, cap)

    def dismiss(self, query: int, hold_off: int) -> None:
        self.tape.line(now(), "dismiss", query, hold_off)
        self.front.dismiss(query, hold_off)

    def scrap(self, query: int) -> None:
        self.tape.line(now(), "scrap", query)
        self.front.scrap(query)

    def release(self, query: int) -> None:
        self.tape.line(now(), "release", query)
        self.front.release(query)

    def move(self, query: int) -> None:
        self.tape.line(now(), "move", query)
        self.front.move(query)

    def subscribe(self) -> None:
        self.tape.line(now(), "subscribe")

    def wake(self, token: str, at: int) -> None:
        self.tape.line(now(), "wake", token, at)
        self.front.wake(f"{token}@{self.name}", at)

    def note(self, text: str) -> None:
        self.tape.line(now(), "note", text)
        self.front.note(text)

    def forget(self, query: int) -> None:
        self.tape.line(now(), "forget", query)
        self.queries -= 1
        self.front.forget(query)
