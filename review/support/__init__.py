"""What the scripts of the review share: daemons, stand-ins, clients and the record."""
