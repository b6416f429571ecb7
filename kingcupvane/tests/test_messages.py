"""Tests of the authentication of frames between daemons."""

import pytest

from kingcupvane.connection.messages import (
    Envelope,
    FrameCodec,
    FrameError,
    Stamp,
    StatusRequest,
)


def test_frame_with_a_wrong_secret_or_truncated_is_refused():
    frame = FrameCodec(secret=b"one").encode(Envelope(Stamp(), StatusRequest()))
    assert FrameCodec(secret=b"one").decode(frame).message == StatusRequest()
    for codec, data in (
        (FrameCodec(secret=b"two"), frame),
        (FrameCodec(secret=b""), frame),
        (FrameCodec(secret=b"one"), frame[:-1]),
        (FrameCodec(secret=b"one"), b""),
    ):
        with pytest.raises(FrameError):
            codec.decode(data)
