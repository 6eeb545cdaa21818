"""Stand-ins for the outside systems, a load tool and a small fleet to try."""
