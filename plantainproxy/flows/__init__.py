"""Load balancing of flows whose packets carry only a service address.

Connections run end to end between caller and upstream; balancers and sidecars only
forward their packets. A balancer selects an upstream for the opening packet of a flow
and caches the choice. The sidecar on the upstream's machine tracks the flows that the
upstream holds. A balancer that receives a packet of a flow missing from its cache looks
the flow up by asking the sidecars.

``engine`` decides about flows, ``control`` exchanges reports and documents between
processes, ``stored`` reads and writes the store, and ``programs`` has the processes.
The modules beside them are the values that all of these share. Only ``programs``,
``stored`` and the transfer of documents perform I/O.
"""
