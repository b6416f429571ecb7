"""Tells which process holds the other end of a connection on this machine."""

import os
import socket
import struct
from collections.abc import Iterable

# Kernel's interface to its sockets (sock_diag(7)).
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
HEADER = struct.Struct("=IHHII")
ALL_STATES = 0xFFFFFFFF
NO_COOKIE = 0xFFFFFFFF
REPLY_BYTES_MAX = 4096
# Place of the inode in a reply, after the header.
INODE = struct.Struct("=I")
INODE_OFFSET = HEADER.size + 68

Address = tuple[str, int]


def find_owner(peer: Address, own: Address, pids: Iterable[int]) -> int | None:
    """Returns the process that holds the peer's end of a connection.

    Args:
        peer: The peer's address and port (IPv4).
        own: Own address and port.
        pids: Processes to look at.

    Returns:
        The process's id; None if none of them holds it.
    """
    inode = _find_inode(peer, own)
    if inode:
        link = f"socket:[{inode}]"
        for pid in pids:
            if link in _descriptors(pid):
                return pid
    return None


def _find_inode(source: Address, destination: Address) -> int:
    body = struct.pack(
        "=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, ALL_STATES
    )
    body += struct.pack("!HH", source[1], destination[1])
    for host, _ in (source, destination):
        body += socket.inet_aton(host).ljust(16, b"\0")
    body += struct.pack("=III", 0, NO_COOKIE, NO_COOKIE)
    size = HEADER.size + len(body)
    head = HEADER.pack(size, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0)
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG
    ) as kernel:
        kernel.send(head + body)
        reply = kernel.recv(REPLY_BYTES_MAX)
    kind = HEADER.unpack_from(reply)[1]
    if kind != SOCK_DIAG_BY_FAMILY:
        return 0
    return INODE.unpack_from(reply, INODE_OFFSET)[0]


def _descriptors(pid: int) -> set[str]:
    folder = f"/proc/{pid}/fd"
    links = set()
    try:
        for name in os.listdir(folder):
            links.add(os.readlink(f"{folder}/{name}"))
    except OSError:
        # The process has ended, or closes the descriptor just now.
        return links
    return links
