"""Configuration revisions, traffic plans, quotas and guarded rollouts.

The package holds what lives as long as one version of the configuration or of a
service's software.
"""
