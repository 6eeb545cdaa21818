"""Fakes that several tests of connections share."""

import asyncio

__all__ = ["FakeTransport"]


class FakeTransport(asyncio.Transport):
    """Transport that keeps what is written, of a client that reads at once."""

    def __init__(self, client="127.0.0.9"):
        super().__init__({"peername": (client, 1)})
        self.written = bytearray()
        self.protocol = None
        self.reading = True
        self.closed = False

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def get_write_buffer_size(self):
        return 0

    def write(self, data):
        self.written += data

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True

    def is_closing(self):
        return self.closed

    def can_write_eof(self):
        return False

    def set_protocol(self, protocol):
        self.protocol = protocol

    def close(self):
        self.closed = True

    def abort(self):
        self.closed = True
