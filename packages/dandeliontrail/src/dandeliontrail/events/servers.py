"""Events about backend servers."""

import dataclasses

from ..resources import announcements


@dataclasses.dataclass(slots=True)
class Announced:
    """A backend server announced itself to this instance directly."""

    announcement: announcements.Announcement
