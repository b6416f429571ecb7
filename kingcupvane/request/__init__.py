"""Request path: admission, load balancing, dispatch, retries, orders.

The package holds what lives as long as one request.
"""
