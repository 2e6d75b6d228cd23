"""One front's desk: carries what happens to the decisions, and what they ask for to the outside."""

from __future__ import annotations

from collections.abc import Generator
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

BACKGROUND = -1


class Outbox(Protocol):
    """What the outside does for a front; queries and engines are the front's indices."""

    def send(self, query: int, engine: int, cap: int) -> None: ...
    def dismiss(self, query: int, hold_off: int) -> None: ...
    def scrap(self, query: int) -> None: ...
    def release(self, query: int) -> None: ...
    def move(self, query: int) -> None: ...
    def subscribe(self) -> None: ...
    def wake(self, token: str, at: int) -> None: ...
    def note(self, text: str) -> None: ...
    def forget(self, query: int) -> None: ...


class Errand:
    """A running generator and what it is waiting for."""

    __slots__ = ("out", "query", "steps", "waits")


    def __init__(self, query: Query | None, steps: Generator[Ask, Outcome | None, None]) -> None:
        self.query = query
        self.steps = steps
        self.out = False
        self.waits = 0


class Desk:
    def __init__(self, terms: HouseTerms, seed: int, outbox: Outbox, now: int) -> None:
        self.outbox = outbox
        self.rules = Rules(terms, seed)
        self.rules.now = now
        self.errands: dict[int, Errand] = {}
        watch = Errand(None, self.rules.watch())
        self.errands[BACKGROUND] = watch
        self._step(BACKGROUND, watch, None)

    def roster(self, now: int, roster: Roster) -> None:
        self.rules.now = now
        self.rules.roster(roster)

    def list_failed(self, now: int) -> None:
        self.rules.now = now
        self.rules.subscribed = False

    def arrive(self, now: int, query: Query) -> None:
        self.rules.now = now
        errand = Errand(query, self.rules.query(query))
        self.errands[query.index] = errand
        self._step(query.index, errand, None)

    def begun(self, now: int, index: int, took: int) -> None:
        self._shot_news(now, index, Outcome(Ending.BEGUN, took), over=False)

    def closed(self, now: int, index: int, outcome: Outcome, over: bool) -> None:
        self._shot_news(now, index, outcome, over)

    def left(self, now: int, index: int) -> None:
        errand = self.errands.get(index)
        if errand is None or errand.query is None:
            return
        self.rules.now = now
        errand.query.over = True
        if not errand.out:
            self._step(index, errand, None)

    def drop(self, index: int) -> bool:
        """Forgets a query whose decisions failed; False where there is none."""
        return self.errands.pop(index, None) is not None

    def rang(self, now: int, token: str) -> None:
        index, _, wait = token.partition(".")
        errand = self.errands.get(int(index))
        # Timers cannot be taken back: one that belongs to an earlier wait is passed over.
        if errand is None or int(wait) != errand.waits or errand.out:
            return
        self.rules.now = now
        self._step(int(index), errand, None)

    def _shot_news(self, now: int, index: int, outcome: Outcome, over: bool) -> None:
        errand = self.errands.get(index)
        if errand is None or errand.query is None or not errand.out:
            return
        self.rules.now = now
        if over:
            errand.query.over = True
        errand.out = outcome.ending is Ending.BEGUN
        self._step(index, errand, outcome)

    def _step(self, index: int, errand: Errand, news: Outcome | None) -> None:
        out = self.outbox
        errand.waits += 1
        while True:
            try:
                ask = errand.steps.send(news)
            except StopIteration:
                del self.errands[index]
                if index != BACKGROUND:
                    out.forget(index)
                return
            news = None
            match ask:
                case Shot(engine, cap):
                    errand.out = True
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
