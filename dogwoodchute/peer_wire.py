"""Messages between the fleet's hosts, and the frames that carry them.

A frame is a big-endian 32-bit length and that many bytes of msgpack: a list of the
message's tag and its fields. A stream opens with four messages: `Hello` from the
dialling side, `Challenge` from the accepting side, then `Proof` and `Opened`.
"""

import struct
import typing

import msgpack

PROTOCOL = 1
HANDSHAKE_BYTES = 2_048  # largest frame before both sides are authenticated
LENGTH = struct.Struct(">I")


class FrameError(Exception):
    """A frame that is too large, or content that is no message of this protocol."""


class Identity(typing.NamedTuple):
    """The host and incarnation at one end of a stream."""

    host: str
    incarnation: str
    region: str
    data_centre: str


class Hello(typing.NamedTuple):
    """Opens a handshake; `target` is the host to be reached, empty for any."""

    protocol: int
    host: str
    incarnation: str
    region: str
    data_centre: str
    target: str
    nonce: bytes


class Challenge(typing.NamedTuple):
    """Answers `Hello` and proves that the sender holds the fleet key."""

    host: str
    incarnation: str
    region: str
    data_centre: str
    nonce: bytes
    proof: bytes


class Proof(typing.NamedTuple):
    """Proves that the dialling side holds the fleet key."""

    proof: bytes


class Opened(typing.NamedTuple):
    """Confirms to the dialling side that the stream is open."""

    protocol: int


class Call(typing.NamedTuple):
    """A call; `number` is unique among the sender's calls on the stream."""

    number: int
    kind: str
    body: dict


class Reply(typing.NamedTuple):
    """The answer to a call."""

    number: int
    body: dict


class Failure(typing.NamedTuple):
    """A failed call; `refused` means that its handler certainly never ran."""

    number: int
    reason: str
    refused: bool


class Beat(typing.NamedTuple):
    """A heartbeat."""

    sequence: int


class Digest(typing.NamedTuple):
    """Summarises the records that the sender has: generation and versions by host."""

    states: dict


class Gossip(typing.NamedTuple):
    """Records of hosts that the receiver may lack."""

    cores: list
    hints: list


Message = (
    Hello | Challenge | Proof | Opened | Call | Reply | Failure | Beat | Digest | Gossip
)
MESSAGE_TYPES = Message.__args__
TAGS = {message_type: tag for tag, message_type in enumerate(MESSAGE_TYPES)}


def encode(message: Message) -> bytes:
    """Return the frame of a message.

    Raises `FrameError` if msgpack can't encode a field.
    """
    try:
        content = msgpack.packb([TAGS[type(message)], *message])
    except (TypeError, ValueError, OverflowError) as error:
        raise FrameError(f"not encodable: {error}") from error
    return LENGTH.pack(len(content)) + content


def decode(content: bytes) -> Message:
    """Return the message in a frame's content.

    Raises `FrameError` for content that isn't msgpack, an unknown tag, and fields of
    the wrong number or types.
    """
    try:
        fields = msgpack.unpackb(content, strict_map_key=False)
    except (ValueError, msgpack.UnpackException) as error:
        raise FrameError(f"not msgpack: {error}") from error
    if not isinstance(fields, list) or not fields or type(fields[0]) is not int:
        raise FrameError("not a message")
    if not 0 <= fields[0] < len(MESSAGE_TYPES):
        raise FrameError(f"unknown tag {fields[0]}")
    message_type = MESSAGE_TYPES[fields[0]]
    expected = list(message_type.__annotations__.values())
    if [type(value) for value in fields[1:]] != expected:
        raise FrameError(f"wrong fields of {message_type.__name__}")
    return message_type(*fields[1:])


class Decoder:
    """Splits received bytes into frames of at most `max_bytes` and decodes them."""

    def __init__(self, *, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def next_message(self) -> Message | None:
        """Return the next message, None if no complete frame has arrived.

        Raises `FrameError` for a frame that is too large or holds no message.
        """
        if len(self._buffer) < LENGTH.size:
            return None
        (length,) = LENGTH.unpack_from(self._buffer)
        if length > self.max_bytes:
            raise FrameError(f"frame of {length} bytes")
        end = LENGTH.size + length
        if len(self._buffer) < end:
            return None
        content = bytes(memoryview(self._buffer)[LENGTH.size : end])
        del self._buffer[:end]
        return decode(content)
