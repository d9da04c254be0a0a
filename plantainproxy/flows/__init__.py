"""Load balancing of flows whose packets carry only a service address.

Connections run end to end between caller and upstream; balancers and sidecars only
forward their packets. A balancer selects an upstream for the opening packet of a flow
and caches the choice. The sidecar on the upstream's machine tracks the flows that the
upstream holds. A balancer that receives a packet of a flow missing from its cache looks
the flow up by asking the sidecars.

Only the ``*_main`` modules and the tasks that they start perform I/O.
"""
