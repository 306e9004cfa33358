"""The commands of ``dandelionctl``, by what they are for."""
