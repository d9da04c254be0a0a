"""The command tree; each command is a closure over the settings reader."""

from collections import abc
import typing

from plantainproxy.ctl import client, configure, observe, rotation


def build_command_tree(read: client.ReadSettings) -> abc.Mapping[str, typing.Any]:
    """Return all commands by name; those that need settings call ``read``."""
    return {
        **configure.configuration_commands(read),
        **configure.drain_commands(read),
        "route": configure.route_commands(read),
        "pool": configure.pool_commands(read),
        "domain": configure.domain_commands(read),
        "keys": rotation.commands(read),
        "status": observe.status_command(read),
        "audit": observe.audit_command(read),
        "explain": observe.explain_command(read),
    }
