"""Components that live as long as a daemon process."""
