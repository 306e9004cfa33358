"""Events about backend servers."""

import msgspec

from ..resources import announcements


class Announced(msgspec.Struct):
    """A backend server sent its announcement to this instance directly."""

    announcement: announcements.Announcement
