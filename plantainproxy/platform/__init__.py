"""Adapter to the platform on which the users run plantainproxy.

The platform's formats and field names are used only in this package. It converts
settings, packets, heartbeats, operators' documents and store calls from and to the
types of the other packages.
"""
