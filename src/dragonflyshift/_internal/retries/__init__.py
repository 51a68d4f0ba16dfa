"""Retry budgets and backoff."""

from dragonflyshift._internal.retries.base import RetryPolicy

__all__ = ('RetryPolicy',)
