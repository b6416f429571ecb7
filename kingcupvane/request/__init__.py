"""Request path: admission, load balancing, dispatch, retries, orders."""
