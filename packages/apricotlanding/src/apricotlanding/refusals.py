"""Why what a connection sent was refused, or why it was closed."""

import enum

__all__ = ['Refusal']


class Refusal(enum.Enum):
    """A limit that a caller exceeded, or what it sent that is no request."""

    # Bytes that are no request.
    MALFORMED = 'malformed'
    # A transfer coding that is not known.
    CODING = 'coding'
    # Size of a head, and the number of its headers.
    HEAD_SIZE = 'head_size'
    HEAD_FIELDS = 'head_fields'
    # Long heads of all connections that are incomplete.
    LONG_HEADS = 'long_heads'
    # Time for a head to arrive.
    HEAD_TIME = 'head_time'
    BLANK_LINES = 'blank_lines'
    # Size of the line before a chunk.
    LINE_SIZE = 'line_size'
    TRAILERS = 'trailers'
    # Bytes of a body that are no content.
    FRAMING = 'framing'
    # A request on a connection beyond the most.
    CONNECTIONS = 'connections'
    # Connections that were closed for another one, or at once.
    CONNECTION_REPLACED = 'connection_replaced'
    CONNECTION_DROPPED = 'connection_dropped'
    # A connection whose answer was not read.
    UNREAD = 'unread'
