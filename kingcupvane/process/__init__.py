"""What lives for one daemon process."""
