"""Small stand-ins for what the product meets; never imported by it."""
