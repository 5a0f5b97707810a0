"""Framed TCP connections between figpick processes."""

from ._frames import FrameError, FrameReader, encode_frame
from ._link import Dialer, Link, finish_links, listen

__all__ = [
    "Dialer",
    "FrameError",
    "FrameReader",
    "Link",
    "encode_frame",
    "finish_links",
    "listen",
]
