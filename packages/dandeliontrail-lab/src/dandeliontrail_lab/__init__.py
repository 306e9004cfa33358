"""Simulated backend servers, load, experiments and reports."""

__version__ = "0.1.0"
