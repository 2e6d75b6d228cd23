"""Hold prefill states at a stand-in engine and transfer them to other engines."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import msgspec

from runspool.lab.active_faults import ActiveFaults
from runspool.lab.engine_events import EngineEvents
from runspool.lab.engine_model import EngineModel, EngineSpec, Job
from runspool.lab.http_server import ReceivedRequest
from runspool.lab.plan import SECOND
from runspool.lab.standin_messages import StateTransferParams
from runspool.service.clock import now

FETCH_PATH = "/lab/fetch"  # path of a call between stand-in engines; no real engine has it
FETCH_TIMEOUT = 10.0  # seconds for a whole transfer


class HeldStates:
    """The prefill states that an engine holds until they are fetched, released or expired.

    `on_release` is called when the memory of a state has been freed.
    """

    def __init__(
        self,
        model: EngineModel,
        faults: ActiveFaults,
        events: EngineEvents,
        on_release: Callable[[], None],
    ) -> None:
        self._model = model
        self._faults = faults
        self._events = events
        self._on_release = on_release

    def hold(self, job: Job, attempt: str) -> None:
        """End a prefill and hold its state under the job's request id.

        `attempt` is the id of the client attempt that the prefill serves.
        """
        self._model.hold_state(job, job.request_id)
        self._events.state_held(job, attempt)

    def drop(self, state: str) -> None:
        """Free a state that its front cannot know of, because the connection was lost before the response."""
        if self._model.release_state(state):
            self._events.state_dropped(state)

    async def expire(self, state: str) -> None:
        """Wait for a state's time to live and free the state if it is still held."""
        await anyio.sleep(self._model.spec.state_ttl / SECOND)
        if self._model.release_state(state):
            self._events.state_expired(state)
            self._on_release()

    async def handle_release(self, received: ReceivedRequest) -> None:
        """Release a state at the request of a front. An engine that hangs does so when it resumes."""
        content = msgspec.json.decode(await received.read_body())
        params = content.get("kv_transfer_params") or {}
        state = params.get("remote_request_id") or content.get("request_id")
        received_at = now()
        await self._faults.wait_until_resumed()
        if self._model.release_state(state):
            self._events.state_released(state, received_at)
            self._on_release()
        await received.respond(200, {})

    async def handle_fetch(self, received: ReceivedRequest) -> None:
        """Transfer a state to another engine and free it; respond when the transfer is complete."""
        content = msgspec.json.decode(await received.read_body())
        state = content["state"]
        await self._faults.wait_until_resumed()
        tokens = self._model.held_states.get(state)
        if tokens is None:
            await received.respond(404, {})
            return
        await self._transfer(received, self._model.transfer_time(tokens, content["zone"], content["rack"]))
        if received.disconnected.is_set():
            return
        if not self._model.release_state(state):
            await received.respond(404, {})
            return
        self._events.state_taken(state, content["engine"])
        self._on_release()
        await received.respond(200, {})

    async def _transfer(self, received: ReceivedRequest, duration: int) -> None:
        """Wait for the duration of a transfer; return early if the fetching engine disconnects."""
        self._model.outgoing_transfers += 1
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(received.wait_for_disconnect)
                with anyio.move_on_after(duration / SECOND):
                    await received.disconnected.wait()
                tasks.cancel_scope.cancel()
        finally:
            self._model.outgoing_transfers -= 1


async def fetch_state(spec: EngineSpec, params: StateTransferParams, disconnected: anyio.Event) -> bool:
    """Fetch a state from the engine that holds it; return whether that succeeded.

    Args:
        spec: the properties of the engine that fetches.
        params: where the state is held, and its name there.
        disconnected: cancels the fetch when set.
    """
    content = msgspec.json.encode(
        {
            "state": params.remote_request_id,
            "zone": spec.zone,
            "rack": spec.rack,
            "engine": spec.name,
        }
    )
    head = f"POST {FETCH_PATH} HTTP/1.1\r\nHost: lab\r\nContent-Length: {len(content)}\r\n\r\n"
    fetched = False
    try:
        with anyio.fail_after(FETCH_TIMEOUT):
            stream = await anyio.connect_tcp(str(params.remote_host), int(params.remote_port or 0))
            async with stream:
                await stream.send(head.encode() + content)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(_cancel_when, disconnected, tasks.cancel_scope)
                    fetched = (await stream.receive()).startswith(b"HTTP/1.1 200")
                    tasks.cancel_scope.cancel()
    except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError, BaseExceptionGroup):
        return False
    return fetched


async def _cancel_when(event: anyio.Event, scope: anyio.CancelScope) -> None:
    await event.wait()
    scope.cancel()
