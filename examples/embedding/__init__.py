"""Each coordination part by itself: no daemon, no socket, a clock of its own.

Every script runs by itself, as ``python -m examples.embedding.dedup``.
What each shows is asserted in ``examples/tests/test_embedding.py``.
"""
