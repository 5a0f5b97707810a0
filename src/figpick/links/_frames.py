"""Frames: a length of four bytes, then a MessagePack list."""

import msgspec

from ..base._errors import PeerError

LENGTH_BYTES = 4
# Bodies are cut into parts of 64 KiB; a compressed configuration is larger.
MAX_FRAME_BYTES = 8 * 1024 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list)


class FrameError(PeerError):
    """Bytes on a link that are not a frame."""


def encode_frame(message):
    """Gives the bytes of one message.

    :param message: tuple or list of MessagePack values.
    """
    payload = _encoder.encode(message)
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


class FrameReader:
    """Collects bytes into messages."""

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data):
        """Takes bytes and gives the messages that are complete.

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
                        f"frame of {size} bytes, at most {MAX_FRAME_BYTES}"
                    )
                last = start + LENGTH_BYTES + size
                if last > end:
                    break
                try:
                    messages.append(_decoder.decode(view[start + LENGTH_BYTES : last]))
                except msgspec.DecodeError as error:
                    raise FrameError(f"frame is not MessagePack: {error}") from error
                start = last
        if start:
            del self._buffer[:start]
        return messages
