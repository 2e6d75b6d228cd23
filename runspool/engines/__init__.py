"""Speaking to engines: pooled connections, the shots on them, and the ending of each."""

from runspool.engines.endings import ENDINGS, Mishap, may_have_run
from runspool.engines.shots import Caller, Ended, Listener

__all__ = ["ENDINGS", "Caller", "Ended", "Listener", "Mishap", "may_have_run"]
