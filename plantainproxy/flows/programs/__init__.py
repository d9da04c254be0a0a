"""The programs of transparent flows: their tasks, sockets and command lines."""
