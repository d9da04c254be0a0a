"""A small event loop and an interface to it that trio implements as well.

The programs of transparent flows run on this loop, because importing trio takes longer
than everything else that they do before the first packet (docs/design/start.md). Code
that they share with the other programs uses ``runtime`` and ``tcp``, which run on the
loop that is active.
"""
