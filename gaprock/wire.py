"""Creation of the sockets between entry and agent, and their limits.

A ROUTER socket silently drops messages once it has reached its high-water mark.
These sockets have none: a window for each answer limits the data in flight, and a
peer that falls silent is removed together with its queue.
"""

import typing

import zmq
import zmq.auth.thread

from gaprock import options

# No high-water mark, for the reason given at the head of this module.
UNLIMITED: typing.Final = 0
# The transport's own heartbeats end connections to hosts that vanished without closing
# them.
HEARTBEAT_MS: typing.Final = 2_000
HEARTBEAT_TIMEOUT_MS: typing.Final = 6_000
RECONNECT_MS: typing.Final = 100
RECONNECT_MAX_MS: typing.Final = 2_000
MAX_IDENTITY_BYTES: typing.Final = 200


def open_router(
    context: zmq.Context[typing.Any], cfg: options.Options
) -> zmq.Socket[bytes]:
    """Open an agent's socket, without binding it."""
    sock: zmq.Socket[bytes] = context.socket(zmq.ROUTER)
    _set_common(sock)
    # Sending to an unknown peer raises an error instead of dropping the message.
    sock.setsockopt(zmq.ROUTER_MANDATORY, 1)
    sock.setsockopt(zmq.ROUTER_HANDOVER, 1)
    if cfg.curve_secret:
        sock.curve_publickey = cfg.curve_public.encode()
        sock.curve_secretkey = cfg.curve_secret.encode()
        sock.curve_server = True
        sock.zap_domain = b"gaprock"
    return sock


def open_dealer(
    context: zmq.Context[typing.Any], cfg: options.Options, identity: str
) -> zmq.Socket[bytes]:
    """Open an entry's socket to one agent, without connecting it."""
    sock: zmq.Socket[bytes] = context.socket(zmq.DEALER)
    _set_common(sock)
    sock.setsockopt(zmq.IDENTITY, identity.encode()[:MAX_IDENTITY_BYTES])
    # Messages to a peer that is not connected are not queued: sending fails at once.
    sock.setsockopt(zmq.IMMEDIATE, 1)
    sock.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
    sock.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
    if cfg.curve_secret:
        sock.curve_publickey = cfg.curve_public.encode()
        sock.curve_secretkey = cfg.curve_secret.encode()
        sock.curve_serverkey = cfg.curve_public.encode()
    return sock


def start_auth(
    context: zmq.Context[typing.Any], cfg: options.Options
) -> zmq.auth.thread.ThreadAuthenticator | None:
    """Accept only peers that have the site's CURVE key, if one is set."""
    if not cfg.curve_secret:
        return None
    auth = zmq.auth.thread.ThreadAuthenticator(context)
    auth.start()
    auth.configure_curve_callback("gaprock", SiteKey(cfg.curve_public))
    return auth


class SiteKey:
    """Accepts only the public key of the site."""

    __slots__ = ("_key",)

    def __init__(self, key: str) -> None:
        self._key = key.encode()

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a peer's public key, in Z85, is accepted.

        The authenticator calls this.
        """
        return key == self._key


def _set_common(sock: zmq.Socket[bytes]) -> None:
    sock.setsockopt(zmq.SNDHWM, UNLIMITED)
    sock.setsockopt(zmq.RCVHWM, UNLIMITED)
    sock.setsockopt(zmq.LINGER, 0)
    sock.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
    sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
