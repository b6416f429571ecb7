"""Configuration revisions, traffic plans, quotas and guarded rollouts."""
