"""Data path of a node that relays requests beside one backend server.

Callers' requests arrive at `caller_connection`. `forwarding` chooses a backend server,
`peer_link` carries the request to the node beside that server, and `execution` runs it
there over `backend_connection`. `fleet_view` holds the configuration and the backend
servers of the fleet; `watcher` reads them from the platform and `peers` exchanges them
with other nodes. `node_parts` builds all of it, and `node` starts and stops it.
"""
