"""Clock of tests of the fleet."""


class Clock:
    """Clock in seconds that stands until a test moves it."""

    def __init__(self, now=0.0):
        self.now = now

    def __call__(self):
        return self.now
