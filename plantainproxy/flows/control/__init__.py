"""Control traffic between processes: reports through relays, and the store's documents.

Two sidecars of each failure domain are its relays. They exchange the reports of their
domains, and watch the store on behalf of the processes in their own domain.
"""
