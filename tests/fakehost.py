"""One tiny fake host: a front's desk, a clock, and engines that do what the story says."""

from __future__ import annotations

import heapq

from runspool.decisions.interface import (
    Effect,
    Ending,
    Group,
    HouseTerms,
    KindTerms,
    Listed,
    Outcome,
    Query,
    Report,
    Role,
    Roster,
    TariffTerms,
    TenantTerms,
)
from runspool.decisions.rules import SECOND
from runspool.front import Desk

READER, WRITER, MIXED = 0, 1, 2


def terms(effect: Effect = Effect.RERUNNABLE, group: Group = Group.ALL, **said: object) -> HouseTerms:
    row = TariffTerms(SECOND, 0, 500, 1.0, 0.1, effect, group, 5 * SECOND)
    house = HouseTerms(
        me=0,
        fronts=1,
        zone=0,
        tariffs=[row],
        tenants=[TenantTerms(5.0)],
        kinds=[KindTerms(Role.READER, 90_000), KindTerms(Role.WRITER, 90_000), KindTerms(Role.MIXED, 90_000)],
        over_share=0.1,
        answer_slack=80,
        cold_from=0.25,
        cold_time=10 * SECOND,
        fall_multiple=2.0,
        fall_time=SECOND,
        release_within=3000,
        max_shots=5,
        second_copies=False,
        may_recall=True,
        may_probe=False,
        may_hold=False,
        may_say_when=True,
        longest_wait_told=SECOND,
        resumes=True,
        writers_read=False,
        must_ask=False,
        ask_within=0,
        far_price=0.03,
        zone_price=0.02,
        late_price=0.04,
        waste_price=0.1,
    )
    for name, value in said.items():
        setattr(house, name, value)
    return house


class FakeHost:
    def __init__(self, kinds: list[int], house: HouseTerms | None = None) -> None:
        self.now = 1_000 * SECOND
        self.said: list[tuple[str, int]] = []  # what was asked, of which query
        self.shots: list[tuple[int, int, int]] = []  # query, engine, cap
        self.timers: list[tuple[int, str]] = []
        self.desk = Desk(house or terms(), 7, self, self.now)
        self.luck = 0.0  # no story hangs on a draw
        self.desk.rules.draw = lambda: self.luck
        self.lines = [
            Listed(at, kind, 0, 0, 0, "on", 1 + at * 2654435761 % 4294967291) for at, kind in enumerate(kinds)
        ]
        self.desk.roster(self.now, Roster(True, list(self.lines)))
        self.asked = self.hold_off = 0

    def send(self, query: int, engine: int, cap: int) -> None:
        self.said.append(("send", query))
        self.shots.append((query, engine, cap))

    def dismiss(self, query: int, hold_off: int) -> None:
        self.said.append(("dismiss", query))
        self.hold_off = hold_off

    def scrap(self, query: int) -> None:
        self.said.append(("scrap", query))

    def release(self, query: int) -> None:
        self.said.append(("release", query))

    def move(self, query: int) -> None:
        self.said.append(("move", query))

    def subscribe(self) -> None:
        self.said.append(("subscribe", -1))

    def wake(self, token: str, at: int) -> None:
        heapq.heappush(self.timers, (at, token))

    def note(self, text: str) -> None: ...

    def forget(self, query: int) -> None: ...

    def ask(
        self, prompt: int = 2_000, budget: int = 4 * SECOND, session: int | None = None, **said: int
    ) -> int:
        """A client's query; returns its index."""
        self.asked += 1
        tariff = said.get("tariff", 0)
        self.desk.arrive(
            self.now,
            Query(
                self.asked,
                tariff if tariff >= 0 else None,
                said.get("tenant"),
                session,
                said.get("beginning"),
                prompt,
                said.get("beginning_length", 0),
                400,
                said.get("likely_out", 50),
                budget,
                bool(said.get("resent")),
                bool(said.get("again")),
                beginning_mark=said.get("mark", 0),
            ),
        )
        return self.asked

    def end(
        self,
        query: int,
        ending: Ending,
        over: bool = False,
        took: int = 500,
        kept: int = 0,
        report: Report | None = None,
        shot: int = 0,
    ) -> None:
        """The end of a shot, the last one where none is named."""
        self.desk.closed(
            self.now, query, shot or self.shots_of(query), Outcome(ending, took, kept, report), over
        )

    def begin(self, query: int, took: int = 300, shot: int = 0) -> None:
        self.desk.begun(self.now, query, shot or self.shots_of(query), took)

    def shots_of(self, query: int) -> int:
        return sum(shot == query for shot, _, _ in self.shots)

    def serve(self, query: int) -> None:
        """The shot that is out, and what follows it, as a healthy engine would end it."""
        if self.lines[self.at(query)].kind == READER:
            self.end(query, Ending.READ)
        self.begin(query)
        self.end(query, Ending.SUCCEEDED, over=True, took=10_000)

    def tell(self, engine: int, state: str = "on", started: int = 0) -> None:
        line = self.lines[engine]
        told = Listed(engine, line.kind, line.zone, line.rack, started, state, line.mark)
        self.desk.roster(self.now, Roster(False, [told]))

    def wait(self, time: int) -> None:
        """Lets time pass, ringing what falls due."""
        until = self.now + time
        while self.timers and self.timers[0][0] <= until:
            self.now, token = heapq.heappop(self.timers)
            self.desk.rang(self.now, token)
        self.now = until

    def at(self, query: int) -> int:
        return [engine for shot, engine, _ in self.shots if shot == query][-1]

    def of(self, query: int) -> list[str]:
        return [word for word, whose in self.said if whose == query]
