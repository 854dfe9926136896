"""Addresses without names, so that no thread looks up names."""

import ipaddress
import socket

from tornado.netutil import Resolver


class NumericResolver(Resolver):
    """Takes IP addresses as they are, so that no thread looks up names."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, tuple[str, int]]]:
        """Return the one address.

        Raises
        ------
        OSError
            When the host is not an IP address.
        """
        try:
            ip = ipaddress.ip_address(host)
        except ValueError as exc:
            raise OSError(f"{host!r} is not an IP address") from exc
        kind = socket.AF_INET if ip.version == 4 else socket.AF_INET6
        return [(kind, (host, port))]
