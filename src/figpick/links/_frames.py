"""Message framing: a length prefix of four bytes and a MessagePack list.

MessagePack has no integers above 64 bits. They are sent as decimal digits in an
extension type: JSON, in which operators write and messages are stored, has no limit.
"""

import msgspec

from ..base._errors import PeerError

LENGTH_BYTES = 4
# HTTP bodies are split into parts of 64 KiB; a compressed configuration is larger.
MAX_FRAME_BYTES = 8 * 1024 * 1024

LONG_INTEGER = 1
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**64 - 1


class FrameError(PeerError):
    """Bytes received on a link are not a valid frame."""


def _decode_extension(code, data):
    if code != LONG_INTEGER:
        raise ValueError(f"extension type {code} is not known")
    return int(bytes(data))


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list, ext_hook=_decode_extension)


def encode_frame(message):
    """Returns a message encoded as a frame.

    :param message: tuple or list of JSON values and bytes.
    """
    try:
        payload = _encoder.encode(message)
    except OverflowError:
        payload = _encoder.encode(_extend_integers(message))
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


class FrameReader:
    """Decodes messages from a stream of bytes.

    :param max_bytes: size of the longest frame that is taken.
    """

    def __init__(self, max_bytes=MAX_FRAME_BYTES):
        self._max_bytes = max_bytes
        self._buffer = bytearray()

    @property
    def has_partial_frame(self):
        """Whether a frame has been received in part."""
        return bool(self._buffer)

    @property
    def partial_bytes(self):
        """Size of the frame that has been received in part."""
        return len(self._buffer)

    def feed(self, data):
        """Adds received bytes and returns the messages that are now complete.

        :return: list of messages, each a list.
        :raises FrameError: when a frame is too long or not MessagePack.
        """
        self._buffer += data
        messages = []
        start = 0
        end = len(self._buffer)
        with memoryview(self._buffer) as view:
            while end - start >= LENGTH_BYTES:
                size = int.from_bytes(view[start : start + LENGTH_BYTES], "big")
                if size > self._max_bytes:
                    raise FrameError(
                        f"frame of {size} bytes exceeds the limit of {self._max_bytes}"
                    )
                frame_end = start + LENGTH_BYTES + size
                if frame_end > end:
                    break
                try:
                    messages.append(
                        _decoder.decode(view[start + LENGTH_BYTES : frame_end])
                    )
                except (msgspec.DecodeError, ValueError) as error:
                    raise FrameError(
                        f"frame is not a MessagePack list: {error}"
                    ) from error
                start = frame_end
        if start:
            del self._buffer[:start]
        return messages


def _extend_integers(value):
    """Returns a value whose integers above 64 bits are of the extension type."""
    if isinstance(value, dict):
        return {key: _extend_integers(each) for key, each in value.items()}
    if isinstance(value, (list, tuple)):
        return [_extend_integers(each) for each in value]
    if isinstance(value, int) and not MIN_INTEGER <= value <= MAX_INTEGER:
        return msgspec.msgpack.Ext(LONG_INTEGER, str(value).encode())
    return value
