"""What a failed system call says: of the connection, of its peer, or only of this machine at this moment."""

import errno

# connect(2), socket(2): this machine can't make a connection just now, which says nothing of the peer
LOCAL = {
    errno.EADDRNOTAVAIL,
    errno.EAGAIN,
    errno.EINTR,
    errno.EMFILE,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
}
# send(2), recv(2): the call may be made again, the connection stands
TRANSIENT = {errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM}


def is_local(error):
    """Whether a connection could not be made for a reason of this machine's own."""
    return error.errno in LOCAL


def is_transient(error):
    """Whether an open connection stands though a call on it failed."""
    return error.errno in TRANSIENT
