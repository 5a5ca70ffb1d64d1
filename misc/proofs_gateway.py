"""The proofs of the gateway, by families: row 11, beside the ten rows of the brief."""

import typing

from misc import (
    proofs,
    proofs_gateway_endpoints,
    proofs_gateway_held,
    proofs_gateway_mesh,
    proofs_gateway_notices,
    proofs_gateway_pace,
    proofs_gateway_requests,
    proofs_gateway_restores,
    proofs_gateway_shares,
    proofs_gateway_store,
)

ALL: typing.Final = (
    *proofs.PROOFS,
    *proofs_gateway_requests.PROOFS,
    *proofs_gateway_held.PROOFS,
    *proofs_gateway_endpoints.PROOFS,
    *proofs_gateway_notices.PROOFS,
    *proofs_gateway_pace.PROOFS,
    *proofs_gateway_store.PROOFS,
    *proofs_gateway_restores.PROOFS,
    *proofs_gateway_shares.PROOFS,
    *proofs_gateway_mesh.PROOFS,
)
