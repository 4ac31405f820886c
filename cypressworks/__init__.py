"""cypressworks: one decision module for a storage gateway."""

from cypressworks.logic import Scheduler

__all__ = ["Scheduler"]
