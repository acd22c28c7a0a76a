"""Frames and payloads that travel between daemons."""

import enum
import typing

import cbor2

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 4_000_000


class FrameKind(enum.IntEnum):
    """What a frame is for."""

    REQUEST = 0
    RESPONSE = 1
    FAILURE = 2
    NOTICE = 3


class Frame(typing.NamedTuple):
    """One message on a link.

    :ivar number: pairs a response with its request; 0 for notices
    :ivar method: name of the handler, empty in responses
    :ivar payload: anything that CBOR can hold
    :ivar trace: trace parent of the caller's span, or empty
    """

    kind: FrameKind
    number: int
    method: str
    payload: typing.Any
    trace: str = ''


class Hello(typing.TypedDict):
    """First message of a link.

    :ivar secret: shared secret of the fleet
    """

    protocol: int
    host: str
    secret: str


def encode(frame: Frame) -> bytes:
    """Return the bytes of a frame."""
    return cbor2.dumps(
        [
            int(frame.kind),
            frame.number,
            frame.method,
            frame.payload,
            frame.trace,
        ]
    )


def decode(data: bytes) -> Frame:
    """Read the bytes of a frame.

    :raises ValueError: if they are no frame
    """
    try:
        kind, number, method, payload, parent = cbor2.loads(data)
    except (cbor2.CBORDecodeError, TypeError) as error:
        raise ValueError(f'not a frame: {error}') from error
    return Frame(FrameKind(kind), number, method, payload, parent)
