"""Settings of pytest for the whole repository."""

from hypothesis import settings

# The time limit for one example (200 ms) failed tests on a busy machine.
settings.register_profile("damaskramp", settings(), deadline=None)
settings.load_profile("damaskramp")
