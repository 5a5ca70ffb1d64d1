"""gaprock: a model-aware router for versions and cascades."""

import typing

VERSION: typing.Final = "0.1.0"
