"""The edge: gevent sockets towards clients, engines and the list service; hosts the desk that decides."""
