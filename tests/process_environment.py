"""The environment for processes that tests start from threads.

pytest sets PYTEST_CURRENT_TEST in the main thread at each phase of each test, which can move the array of
environment variables. A process that another thread starts at that moment with the inherited environment
fails with EFAULT ("Bad address"). Such processes get this copy of the
environment, which is made on import, before any thread starts.
"""

from __future__ import annotations

import os

PROCESS_ENVIRONMENT = dict(os.environ)
