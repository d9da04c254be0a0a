"""The adapter to the users' platform.

Only this folder knows the platform's names. It decodes settings, packets, heartbeats,
the operators' documents and the store's calls into the project's types.
"""
