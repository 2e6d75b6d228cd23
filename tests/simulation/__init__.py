"""Deterministic simulations of real fronts from a seed, on a simulated clock and without sockets.

The fronts, their schedulers and their endpoint tracking are those of the service. Clients, engines and the
endpoint list service are simulated, and record their events in the format of recordings
(docs/operators/recordings.md), so that the laboratory's auditor checks a simulated history like a recording
made on sockets. It needs no tolerance, as no time passes between sending and receiving.

The entry point is `simulation.py`.

- `settings.py`: the load and the faults of a history, and the plan built from them.
- `context.py`: the random generator, recording and task group that all parts share.
- `engines.py`, `engine_client.py`: the engines, and the client through which fronts call them.
- `fronts.py`: the processes of fronts.
- `cluster.py`: fronts, engines and the endpoint list.
- `clients.py`, `faults.py`: the requests, and the faults that are injected.
- `replay.py`: the replay of a recording in place of a history from a seed.
- `leaks.py`: a check for state that a front still holds after all requests have ended.
- `recorded_values.py`: the values that recordings use.
"""
