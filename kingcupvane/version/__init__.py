"""What lives for one configuration or software version."""
