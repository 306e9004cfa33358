"""Messages by which instances lend one another parts of the retry budget.

See :mod:`..decisions.retry_budget`.
"""

import msgspec


class RetryLoanAsk(msgspec.Struct, tag="retry_loan_ask"):
    """Asks for ``tokens`` of the retry budget of a service.

    ``ask_id`` is unique among the asks of all starts of the sender.
    """

    service: str
    ask_id: str
    tokens: float


class RetryLoan(msgspec.Struct, tag="retry_loan"):
    """Lends ``tokens`` in answer to the ask ``ask_id``."""

    service: str
    ask_id: str
    tokens: float


MESSAGES = (RetryLoanAsk, RetryLoan)
