"""Client library for applications that send requests to a deployment."""

from mulberry_caller._caller import Caller, Message, Options
from mulberry_caller._entries import EntryList
from mulberry_caller._replies import ChatReply, Failure, Reply
from mulberry_caller._stream import ChatStream

__all__ = [
    "Caller",
    "ChatReply",
    "ChatStream",
    "EntryList",
    "Failure",
    "Message",
    "Options",
    "Reply",
]
