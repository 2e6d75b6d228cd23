"""One front's desk: carries what happens to the decisions, and what they ask for to the outside."""

from __future__ import annotations

from collections.abc import Generator, Iterator
from contextlib import contextmanager
from threading import get_ident
from typing import Protocol

from runspool.decisions.interface import (
    Ask,
    Dismiss,
    Ending,
    HouseTerms,
    Listen,
    Move,
    Note,
    Outcome,
    Query,
    Release,
    Roster,
    Scrap,
    Shot,
    Subscribe,
    Wait,
)
from runspool.decisions.rules import Rules

BACKGROUND, LEAVING = -1, -2


class Outbox(Protocol):
    """What the outside does for a front; queries and engines are the front's indices. A query's shots are
    numbered from 1 in the order of send(). None of these may call back into the desk."""

    def send(self, query: int, engine: int, cap: int) -> None: ...
    def dismiss(self, query: int, hold_off: int) -> None: ...
    def scrap(self, query: int) -> None: ...
    def release(self, query: int) -> None: ...
    def move(self, query: int) -> None: ...
    def subscribe(self) -> None: ...
    def wake(self, token: str, at: int) -> None: ...
    def note(self, text: str) -> None: ...
    def forget(self, query: int) -> None: ...


class Entered(RuntimeError):
    """The desk was called from another thread than its own, or from within one of its steps."""


class Errand:
    """A running generator and what it is waiting for."""

    __slots__ = ("listens", "out", "query", "shots", "steps", "waits")

    def __init__(self, query: Query | None, steps: Generator[Ask, Outcome | None, None]) -> None:
        self.query = query
        self.steps = steps
        self.shots = 0
        self.out = False  # the last shot is
        self.listens = False  # and its answer has begun
        self.waits = 0


class Desk:
    """News by query and number of the shot, from 1; those about a query or a shot that is over are passed
    over, whenever and however often they come. All calls come from one thread, none from within an outbox's
    call; Entered is raised otherwise, before anything is touched.
    """

    def __init__(self, terms: HouseTerms, seed: int, outbox: Outbox, now: int) -> None:
        self.outbox = outbox
        self.rules = Rules(terms, seed)
        self.errands: dict[int, Errand] = {}
        self.thread = get_ident()
        self.inside = False
        with self._entered(now):
            self._watch()

    @contextmanager
    def _entered(self, now: int) -> Iterator[None]:
        # Predicted times, loads and streaming servers are changed in many places of one step: whoever came in
        # between, from another thread or by a call from within, would pick by half of it.
        if self.inside or get_ident() != self.thread:
            raise Entered("another step is under way" if self.inside else "not the desk's own thread")
        self.inside = True
        self.rules.now = now
        try:
            yield
        finally:
            self.inside = False

    def roster(self, now: int, roster: Roster) -> None:
        with self._entered(now):
            self.rules.roster(roster)

    def list_failed(self, now: int) -> None:
        with self._entered(now):
            self.rules.subscribed = False

    def arrive(self, now: int, query: Query) -> None:
        with self._entered(now):
            if query.index in self.errands:
                return  # told twice: the one under way stays
            errand = self.errands[query.index] = Errand(query, self.rules.query(query))
            self._step(query.index, errand, None)

    def begun(self, now: int, index: int, shot: int, took: int) -> None:
        with self._entered(now):
            errand = self._waiting(index, shot)
            if errand is not None and not errand.listens:
                errand.listens = True
                self._step(index, errand, Outcome(Ending.BEGUN, took))

    def closed(self, now: int, index: int, shot: int, outcome: Outcome, over: bool) -> None:
        with self._entered(now):
            errand = self._waiting(index, shot)
            if errand is None or errand.query is None:
                return
            errand.query.over = errand.query.over or over
            errand.out = errand.listens = False
            self._step(index, errand, outcome)

    def left(self, now: int, index: int) -> None:
        with self._entered(now):
            errand = self.errands.get(index)
            if errand is None or errand.query is None:
                return
            errand.query.over = True
            if not errand.out:
                self._step(index, errand, None)

    def leave(self, now: int, by: int) -> None:
        """The front is stopped on purpose, and may be killed after `by`."""
        with self._entered(now):
            errand = self.errands[LEAVING] = Errand(None, self.rules.leave(by))
            self._step(LEAVING, errand, None)

    def drop(self, now: int, index: int) -> bool:
        """Ends an errand whose decisions failed: what it holds is let go of. False where there is none."""
        with self._entered(now):
            errand = self.errands.pop(index, None)
            if errand is None:
                return False
            errand.steps.close()
            if index == BACKGROUND:
                self._watch()
            elif errand.query is not None:
                self.outbox.forget(index)
            return True

    def rang(self, now: int, token: str) -> None:
        index, _, wait = token.partition(".")
        with self._entered(now):
            errand = self.errands.get(int(index))
            # Timers cannot be taken back: one that belongs to an earlier wait is passed over.
            if errand is not None and int(wait) == errand.waits and not errand.out:
                self._step(int(index), errand, None)

    def _watch(self) -> None:
        watch = self.errands[BACKGROUND] = Errand(None, self.rules.watch())
        self._step(BACKGROUND, watch, None)

    def _waiting(self, index: int, shot: int) -> Errand | None:
        """The errand that waits for news of this shot."""
        errand = self.errands.get(index)
        return errand if errand is not None and errand.out and errand.shots == shot else None

    def _step(self, index: int, errand: Errand, news: Outcome | None) -> None:
        out = self.outbox
        errand.waits += 1
        while True:
            try:
                ask = errand.steps.send(news)
            except StopIteration:
                del self.errands[index]
                if errand.query is not None:
                    out.forget(index)
                return
            news = None
            match ask:
                case Shot(engine, cap):
                    errand.out = True
                    errand.shots += 1
                    out.send(index, engine, cap)
                    return
                case Listen():
                    return
                case Wait(until):
                    out.wake(f"{index}.{errand.waits}", max(until, self.rules.now + 1))
                    return
                case Dismiss(hold_off):
                    out.dismiss(index, hold_off)
                    self._over(errand)
                case Scrap():
                    out.scrap(index)
                    self._over(errand)
                case Release():
                    out.release(index)
                case Move(query):
                    out.move(query)
                case Subscribe():
                    out.subscribe()
                case Note(text):
                    out.note(text)

    @staticmethod
    def _over(errand: Errand) -> None:
        if errand.query is not None:
            errand.query.over = True
