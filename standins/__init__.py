"""Stand-ins for the external systems around plantainproxy, for tests and benchmarks.

They imitate the network fabric, the metadata stores, upstreams and callers, and most
of them can inject faults.
"""
