"""A resolver for numeric addresses only, which needs no DNS lookup thread."""

import ipaddress
import socket

from tornado.netutil import Resolver


class NumericResolver(Resolver):
    """Returns IP addresses unchanged, without a DNS lookup in a thread."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, tuple[str, int]]]:
        """Return the address and its family.

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
