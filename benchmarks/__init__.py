"""Measurements; each script prints what it measured."""
