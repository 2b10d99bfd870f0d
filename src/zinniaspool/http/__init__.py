"""HTTP/1.1 over h11, both sides."""
