"""The mechanics of one front: it resumes query generators, keeps timers and maps ids."""

from runspool.front.desk import Desk, Outbox

__all__ = ["Desk", "Outbox"]
