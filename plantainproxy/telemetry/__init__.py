"""Logging, and metrics for statsd and Prometheus."""
