"""Decision logic as pure functions over explicit state, without sockets or clocks."""
