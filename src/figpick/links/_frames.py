"""Message framing: a length prefix of four bytes and a MessagePack list."""

import msgspec

from ..base._errors import PeerError

LENGTH_BYTES = 4
# HTTP bodies are split into parts of 64 KiB; a compressed configuration is larger.
MAX_FRAME_BYTES = 8 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list)


class FrameError(PeerError):
    """Bytes received on a link are not a valid frame."""


def encode_frame(message):
    """Returns a message encoded as a frame.

    :param message: tuple or list of MessagePack values.
    """
    payload = _encoder.encode(message)
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


class FrameReader:
    """Decodes messages from a stream of bytes."""

    def __init__(self):
        self._buffer = bytearray()

    @property
    def has_partial_frame(self):
        """Whether a frame has been received in part."""
        return bool(self._buffer)

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
                if size > MAX_FRAME_BYTES:
                    raise FrameError(
                        f"frame of {size} bytes exceeds the limit of {MAX_FRAME_BYTES}"
                    )
                frame_end = start + LENGTH_BYTES + size
                if frame_end > end:
                    break
                try:
                    messages.append(
                        _decoder.decode(view[start + LENGTH_BYTES : frame_end])
                    )
                except msgspec.DecodeError as error:
                    raise FrameError(
                        f"frame is not a MessagePack list: {error}"
                    ) from error
                start = frame_end
        if start:
            del self._buffer[:start]
        return messages
