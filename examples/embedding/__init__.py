"""Standalone use of each coordination component, without daemon or socket.

The components run on a virtual clock. Each script is run on its own, for example
``python -m examples.embedding.dedup``; ``examples/tests/test_embedding.py`` asserts
what each script demonstrates.
"""
