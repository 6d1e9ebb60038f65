"""Continuous batching: the sequences that share an engine's decoding steps."""

import asyncio
import collections
import json

from dogwoodchute import sse

WORDS = ("the", "stove", "net", "is", "ready", "for", "the", "season")
PREFILL_PER_STEP = 256  # prompt tokens
MAX_RECENT = 256  # newest sequences, which can be resumed or cancelled


class Sequence:
    """One request in the batch, with the events that it has produced."""

    def __init__(
        self,
        *,
        request_id: str,
        model: str,
        prompt_tokens: int,
        cached_tokens: int,
        max_tokens: int,
        priority: int,
        overreport: int,
        software: str = "",
    ) -> None:
        self.request_id = request_id
        self.model = model
        self.prompt_tokens = prompt_tokens
        self.cached_tokens = cached_tokens  # of the prompt
        self.max_tokens = max_tokens
        self.priority = priority  # lower runs first
        self.overreport = overreport  # tokens added to the usage
        self.software = software  # told as `system_fingerprint`, unless empty
        self.prefill_left = prompt_tokens - cached_tokens  # tokens
        self.events: list[bytes] = []
        self.ended = False
        self.cancelled = False
        self.attached = 0  # open streams
        self._changed = asyncio.Event()

    @property
    def usage(self) -> dict:
        """The usage map of the tokens produced so far."""
        completion = len(self.events) + self.overreport
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": completion,
            "total_tokens": self.prompt_tokens + completion,
            "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
        }

    def step(self) -> None:
        """Prefill up to `PREFILL_PER_STEP` prompt tokens, or produce one token."""
        if self.prefill_left > 0:
            self.prefill_left -= PREFILL_PER_STEP
            return
        position = len(self.events)
        last = position == self.max_tokens - 1
        self.events.append(b"")
        event = chunk(self.request_id, self.model, position, last)
        event["usage"] = self.usage
        if self.software:
            event["system_fingerprint"] = self.software
        data = json.dumps(event, separators=(",", ":")).encode()
        self.events[position] = b"id: %d\ndata: %s\n\n" % (position, data)
        if last:
            self.ended = True
        self.wake()

    def wake(self) -> None:
        """Wake the streams that wait for the next event."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def events_from(self, position: int) -> bytes:
        """Wait for events from `position` on; return them, joined.

        The closing event follows them once the sequence has ended. Returns what there
        is, possibly no bytes, if the sequence was cancelled.
        """
        while len(self.events) <= position and not self.ended and not self.cancelled:
            await self._changed.wait()
        data = b"".join(self.events[position:])
        return data + sse.DONE if self.ended else data


class Batch:
    """Runs up to `slots` sequences at once; each step gives each of them one token.

    A step takes `token_seconds` times `slowdown`.
    """

    def __init__(self, *, slots: int, token_seconds: float) -> None:
        self.slots = slots
        self.token_seconds = token_seconds
        self.slowdown = 1.0
        self.running: list[Sequence] = []
        self.waiting: list[Sequence] = []
        self.recent: collections.OrderedDict[str, Sequence]
        self.recent = collections.OrderedDict()
        self._task: asyncio.Task | None = None

    def add(self, sequence: Sequence) -> None:
        """Queue a sequence behind those of the same or a more urgent priority."""
        self.waiting.append(sequence)
        self.waiting.sort(key=lambda each: each.priority)
        self.recent[sequence.request_id] = sequence
        self.recent.move_to_end(sequence.request_id)
        while len(self.recent) > MAX_RECENT:
            self.recent.popitem(last=False)
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._run())

    def cancel(self, sequence: Sequence) -> bool:
        """End a sequence early; return False if it had ended."""
        if sequence.ended or sequence.cancelled:
            return False
        sequence.cancelled = True
        sequence.wake()
        return True

    async def _run(self) -> None:
        while self.running or self.waiting:
            self._admit()
            await asyncio.sleep(self.token_seconds * self.slowdown)
            for sequence in self.running:
                if not sequence.cancelled:
                    sequence.step()
            self.running = [s for s in self.running if not s.ended and not s.cancelled]

    def _admit(self) -> None:
        self.waiting = [s for s in self.waiting if not s.cancelled]
        while self.waiting and len(self.running) < self.slots:
            self.running.append(self.waiting.pop(0))


def chunk(request_id: str, model: str, position: int, last: bool) -> dict:
    """Return the chat completion chunk of the token at `position`."""
    delta = {"content": WORDS[position % len(WORDS)] + " "}
    choice = {"index": 0, "delta": delta, "finish_reason": "length" if last else None}
    return {
        "id": request_id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [choice],
    }
