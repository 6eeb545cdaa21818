"""The data path of a node that relays beside one backend server.

Callers' requests come in at `caller_connection`, `forwarding` finds them a backend
server, `peer_link` carries them to the node beside it, and `execution` runs them there
over `backend_connection`. What is believed of the fleet is in `fleet_view`, followed by
`watcher` and exchanged by `peers`.
"""
