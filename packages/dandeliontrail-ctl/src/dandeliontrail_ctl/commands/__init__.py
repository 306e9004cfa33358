"""The commands of ``dandelionctl``, grouped by purpose."""
