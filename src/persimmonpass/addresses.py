"""Addresses of targets."""

import ipaddress
import re

from persimmonpass import numerals

MAX_PORT = 65_535
MAX_NAME_LENGTH = 253
_LABEL = r'[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?'
_NAME = re.compile(rf'{_LABEL}(?:\.{_LABEL})*')


def is_valid(address: str) -> bool:
    """Return whether requests can be sent to an address.

    The resolver and the HTTP library raise errors of several kinds for others,
    some of them only once a request is sent.

    :param address: ``host:port`` with an IPv4 address, an IPv6 address in
        brackets or a name
    """
    host, _, port = address.rpartition(':')
    number = numerals.read_integer(port)
    if number is None or not 0 < number <= MAX_PORT:
        return False
    try:
        if host.startswith('[') and host.endswith(']'):
            # A zone id names an interface of another machine.
            return not ipaddress.IPv6Address(host[1:-1]).scope_id
        # By the standard for URLs, a host that ends with a number is an IPv4
        # address.
        if host.rpartition('.')[2].isdecimal():
            return bool(ipaddress.IPv4Address(host))
    except ValueError:
        return False
    return len(host) <= MAX_NAME_LENGTH and bool(_NAME.fullmatch(host))
