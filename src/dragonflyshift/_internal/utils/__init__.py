"""UDP sockets and the detection of process pauses."""
