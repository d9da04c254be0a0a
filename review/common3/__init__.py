"""Stand-ins of clients, hosts, routers, store and operator for the cases 11 to 15.

They follow the users' pages and use the standard library only.
"""
