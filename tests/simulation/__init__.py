"""Histories of real fronts, simulated from a seed: one simulated clock, scripted engines, no sockets.

The fronts, their schedulers and their following of the endpoint list are the product's own. Clients, the
endpoint list and the engines around them are simulated here and record what they see in the words of
recordings (docs/operators/recordings.md), so that the lab's auditor judges a history as it would a day on
sockets; since no time is lost between the ends, it needs no tolerance.

Start reading at `simulation.py`.
`settings.py`: load and faults, and the plan made of them. `context.py`: what all parts share.
`engines.py`, `engine_client.py`: the engines, and how fronts call them. `fronts.py`: processes of fronts.
`cluster.py`: fronts, engines and the endpoint list. `clients.py`, `faults.py`: what happens to them.
`replay.py`: a recording in place of a seed. `leaks.py`: what a front has left behind.
`recorded_words.py`: the words of recordings.
"""
