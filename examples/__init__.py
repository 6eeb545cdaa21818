"""Stand-ins for the external systems, a load generator and a small local fleet."""
