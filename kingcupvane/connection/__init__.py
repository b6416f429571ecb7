"""What lives for one connection: callers, targets and peers."""
