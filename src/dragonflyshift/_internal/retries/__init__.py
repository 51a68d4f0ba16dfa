"""Retry budgets and backoff."""

from dragonflyshift._internal.retries.base import RetryPolicy
from dragonflyshift._internal.retries.budget import RetryBudget

__all__ = ('RetryBudget', 'RetryPolicy')
