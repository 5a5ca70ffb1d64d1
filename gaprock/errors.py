"""The exception that carries a result code between modules."""

from gaprock import errorcodes


class GaprockError(Exception):
    """A failure with a result code.

    :param code: the registered result code.
    :param detail: what happened; it follows the code's description in the message.
    :param retry_at: when to try again, seconds since the epoch; 0 for never.
    """

    def __init__(
        self, code: errorcodes.ErrorCode, detail: str = "", retry_at: float = 0.0
    ) -> None:
        super().__init__(code, detail, retry_at)
        self.code = code
        self.detail = detail
        self.retry_at = retry_at

    def __str__(self) -> str:
        return explain(self.code, self.detail)

    @property
    def not_run(self) -> bool:
        """Whether the code guarantees that no endpoint was called."""
        return self.code.category is errorcodes.Category.NOT_RUN


def explain(code: errorcodes.ErrorCode, detail: str = "") -> str:
    """Return the message of a code: description, detail, number and category."""
    middle = f": {detail}" if detail else ""
    return f"{code.description}{middle} (code {code.number}, {code.category.value})."
