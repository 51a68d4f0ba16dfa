"""Messages between our processes, connection ids, authentication."""
