"""The closed list of log events that are no decisions of the journal."""

from collections.abc import Mapping
from types import MappingProxyType

__all__ = ["LOG_EVENTS", "REQUEST_EVENTS"]

REQUEST_EVENTS = frozenset(
    {
        "answer-foreign",
        "attempt-failed",
        "request-ended",
        "request-failed",
        "request-not-admitted",
        "request-refused",
    }
)
"""Events about single requests: their lines are the first to be dropped."""


LOG_EVENTS: Mapping[str, str] = MappingProxyType(
    {
        "answer-foreign": "An upstream's answer named another request; dropped.",
        "answers-not-left": "A leaving process could not write its answers down.",
        "brownout": "The process sheds more or fewer of the less urgent requests.",
        "content-held": "Upstreams crashed while they had a request; what asks the "
        "same is sent to none.",
        "contents-cleared": "Requests held back were answered; all may be sent again.",
        "claims-unreadable": "A value of claims in the store has another form.",
        "keyed-call-failed": "A fault of this process ended a keyed call.",
        "attempt-failed": "One attempt upstream failed.",
        "callers-listening": "The callers' address is open.",
        "configuration-unreadable": "The store holds what is no configuration.",
        "credentials-changed": "A credential file changed and is in use.",
        "credentials-unreadable": "A changed credential file is not usable; the "
        "credentials in use stay.",
        "drained": "The last request ended, or was cut when the time was up.",
        "drain-asked": "An operator asked the process to leave.",
        "dump-unwritten": "A state dump could not be written.",
        "dump-written": "A state dump was written, as a signal asked.",
        "handler-failed": "A fault of the program in one request; its connection "
        "was cut.",
        "library-message": "A library warned of something.",
        "notice-unreadable": "A notice of a peer could not be used; dropped.",
        "keeper-failed": "A fault of the program in one domain's care; the "
        "process stops.",
        "operators-listening": "The operators' address is open.",
        "operator-refused": "An operator's request had no accepted credential.",
        "order-unanswered": "An engine did not answer an order.",
        "plan-not-swapped": "The store did not take a plan; it is read again.",
        "plan-unreadable": "The store holds what is no plan.",
        "peer-dropped": "A peer's connection broke the protocol or was lost.",
        "peer-handler-failed": "A fault of the program in one peer's message; its "
        "connection was closed.",
        "message-unknown": "A peer of a newer version sent a message unknown here.",
        "peer-refused": "A peer showed a wrong secret or an unknown version.",
        "peer-unreachable": "A peer could not be reached or did not answer.",
        "peers-listening": "The peers' address is open.",
        "connection-failed": "A connection ended in an error of its transport.",
        "connection-refused": "There were too many connections open.",
        "request-failed": "A caller's request ended in an error.",
        "request-not-admitted": "There was no room in time for a request; what was "
        "predicted, from what, and how old that is.",
        "request-refused": "A request broke the server's limits or HTTP.",
        "store-unreachable": "The store could not be read.",
        "upstream-ended": "A leaving service listens no more; its address may be used.",
        "superseded": "A later start of this node is known; this one stops.",
        "duty-failed": "A fault of the program in work that lasts; it begins again.",
        "entry-unreadable": "An entry among the instances names none to use.",
        "group-suspected": "A head fell silent; the VMs of its group are asked.",
        "group-phase": "A replica group came to another phase, for this reason.",
        "history-dropped": "The store dropped changes that were not read; all is read.",
        "holder-changed": "Another process, or none, plans groups.",
        "holding-provisionally": "The store is down for every VM; this process goes "
        "on planning.",
        "holder-lost": "This process no longer plans groups.",
        "holder-taken": "This process plans groups from now on.",
        "instance-gone": "An instance's entry is gone, or names none any more.",
        "instance-reborn": "An instance has started again under its id.",
        "target-told-silent": "Another process found a target silent; nothing new is "
        "sent there for a moment.",
        "instance-lost": "An instance answers nobody, though its entry is there.",
        "instances-lost": "The holder told which instances it takes for lost, or "
        "takes for lost no more.",
        "instance-regained": "An instance that had counted as lost answers again.",
        "instance-state": "An instance began to leave, or is ready.",
        "lease-lost": "A lease ended before it was renewed.",
        "limit-announced": "An upstream named how many requests a second it takes, "
        "or names no limit any more.",
        "log-lines-dropped": "So many lines were dropped until now, by class.",
        "news-unreadable": "What a peer told of the store cannot be unpacked.",
        "order-given": "An engine was given an order, with its outcome.",
        "node-unreachable": "Callers are not sent to an entry VM that this one does "
        "not reach.",
        "peer-stale": "A peer's copy of the store was too old, or it did not answer.",
        "plan-unsaved": "The store did not take a plan; it is written again.",
        "record-unreadable": "A record of ours in the store cannot be read.",
        "request-ended": "A request ended: where it was sent, how often, and when.",
        "settings-signal": "The settings file changed, as a signal says.",
        "started": "The process has started.",
        "stopped": "The process ends.",
        "stopping": "The process was told to stop and finishes what runs.",
        "store-lost": "The store stopped answering.",
        "store-regained": "The store answers again.",
        "target-gone": "A target of requests is no more.",
        "targets-shared": "Other processes share targets with this one from now on.",
        "record-not-removed": "The store kept what is no longer held back; its lease "
        "ends it.",
        "upstream-crashed": "Nobody listens any more at an upstream; what it had of "
        "ours is suspected.",
        "target-silent": "A group's head with requests of ours says nothing.",
        "upstream-look-failed": "It could not be told whether a leaving upstream has "
        "ended; it is looked at again.",
    }
)
