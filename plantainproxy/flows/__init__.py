"""Balancing of flows whose packets do not name their destination.

A caller and an upstream speak to each other end to end; balancers and sidecars only
carry their packets. A balancer places the opening packet of a flow and caches the
choice. The sidecar beside the upstream knows which flows the upstream holds, so a
balancer that meets an unknown flow asks the sidecars.

Everything here but the two ``*_main`` modules and their tasks is free of I/O.
"""
