"""Frames that daemons exchange, and their encoding."""

import enum
import typing

import cbor2

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 4_000_000


class FrameKind(enum.IntEnum):
    """Purpose of a frame."""

    REQUEST = 0
    RESPONSE = 1
    FAILURE = 2
    NOTICE = 3


class Frame(typing.NamedTuple):
    """One message on a link.

    :ivar number: matches a response to its request; 0 for notices
    :ivar method: name of the handler, empty in responses
    :ivar payload: any value that CBOR can encode
    :ivar trace: trace parent of the caller's span, or empty
    """

    kind: FrameKind
    number: int
    method: str
    payload: typing.Any
    trace: str = ''


class Hello(typing.TypedDict):
    """Payload of the first frame on a link.

    :ivar protocol: protocol version of the sender
    :ivar host: host id of the sender
    :ivar secret: shared secret of the fleet
    """

    protocol: int
    host: str
    secret: str


def encode(frame: Frame) -> bytes:
    """Encode a frame as CBOR."""
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
    """Decode a frame.

    :raises ValueError: if the bytes are not a valid frame
    """
    try:
        kind, number, method, payload, parent = cbor2.loads(data)
    except (cbor2.CBORDecodeError, TypeError) as error:
        raise ValueError(f'cannot decode frame: {error}') from error
    return Frame(FrameKind(kind), number, method, payload, parent)
