"""Client of upstreams, answer checks and the send gate."""
