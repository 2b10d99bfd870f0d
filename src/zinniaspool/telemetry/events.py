"""Describes the log events of all processes, except the journal's decisions.

The list is complete: every event name that a process logs is either here or
a kind of decision in the journal. The reference page is generated from it.
"""

from collections.abc import Mapping
from types import MappingProxyType

__all__ = ["LOG_EVENTS", "REQUEST_EVENTS"]

REQUEST_EVENTS = frozenset(
    {
        "answer-cut",
        "answer-foreign",
        "attempt-failed",
        "peer-cut-answer",
        "request-awaits-target",
        "request-ended",
        "request-failed",
        "request-not-admitted",
        "request-fits-stop",
        "request-outlasts-stop",
        "request-refused",
        "request-withheld",
        "stream-behind",
        "stream-kept",
        "stream-moved",
        "stream-silent",
        "stream-went-on",
        "stop-stream-ended",
        "trial-begun",
    }
)
"""Events about single requests. Their lines are the first to be dropped when
log lines do not fit into the buffer."""


LOG_EVENTS: Mapping[str, str] = MappingProxyType(
    {
        "answer-cut": "An answer that had begun was cut; the keys tell the longest "
        "time that a stopping process predicted for it when it accepted it, and the "
        "time that it had left then (-1: its own limit was earlier); of each attempt "
        "its number and instance, when it was sent and ended after the request's "
        "arrival, the events before it and up to its end, and how it ended or why "
        "another one took its place; who ended it; and by how much the process was "
        "late meanwhile at most.",
        "answer-foreign": "A dropped answer of an upstream named another request.",
        "answers-not-left": "A leaving process could not write its stored answers to "
        "the store.",
        "brownout": "The process changed how many of the less urgent requests it "
        "sheds.",
        "contention-began": "Requests for a model exceed its capacity, and some are "
        "refused so that others get their share.",
        "contention-ended": "No request for a model was refused by share for a while.",
        "claims-unreadable": "A value of claims in the store cannot be decoded.",
        "keyed-call-failed": "An internal error of this process ended a keyed call.",
        "attempt-failed": "One attempt of a request at an upstream failed; the keys "
        "say who ended it and why.",
        "callers-listening": "The process listens on its address for callers.",
        "configuration-outdated": "The store holds an older configuration than the one "
        "in force, which stays.",
        "configuration-unreadable": "The store holds a configuration that cannot be "
        "decoded.",
        "credentials-changed": "A credential file changed and is in use.",
        "credentials-unreadable": "A changed credential file is not usable; the "
        "credentials in use stay.",
        "drained": "The last request ended, or was cut when the time for draining was "
        "over.",
        "drain-asked": "An operator requested that the process drain and leave.",
        "dump-unwritten": "A state dump could not be written.",
        "dump-written": "A state dump was written on request of a signal.",
        "handler-failed": "An internal error occurred in one request; its connection "
        "was cut.",
        "listener-failed": "An internal error occurred in a function that is called "
        "when the view of the fleet changes; the others are called.",
        "library-message": "A library logged a warning or an error.",
        "notice-unreadable": "A peer's notice could not be decoded and was dropped.",
        "keeper-failed": "An internal error occurred in the control of one domain; "
        "the process stops.",
        "operators-listening": "The process listens on its address for operators.",
        "operator-refused": "An operator's request had no accepted credential.",
        "order-unanswered": "An engine did not answer an order.",
        "plan-not-swapped": "The store did not accept a plan; the plan is read again.",
        "plan-unreadable": "The store holds a plan that cannot be decoded.",
        "peer-dropped": "A peer's connection broke the protocol or was lost.",
        "peer-handler-failed": "An internal error occurred in handling a peer's "
        "message; its connection was closed.",
        "peer-cut-answer": "A peer cut an answer; the keys are those of its own "
        "answer-cut.",
        "message-unknown": "A peer of a newer version sent a message of an unknown "
        "type.",
        "peer-refused": "A peer sent a wrong secret or an unknown version.",
        "peer-unreachable": "A peer could not be reached or did not answer.",
        "peers-listening": "The process listens on its address for peers.",
        "connection-cut": "A connection was cut when the server ended; the keys tell "
        "what it was doing and how many bytes had been received of a request and not "
        "been sent of an answer.",
        "connection-failed": "A connection ended in an error of its transport.",
        "connection-refused": "A connection was refused because too many were open.",
        "request-awaits-target": "No target is left for a request that may be sent "
        "again; it waits for one, for part of its time.",
        "request-failed": "A caller's request ended in an error.",
        "request-fits-stop": "A stopping process accepted a request since it expects "
        "it to end in time; the keys give the time left, the longest time predicted, "
        "and what this consists of.",
        "request-outlasts-stop": "A request was refused since it may take longer than "
        "the stopping process has left; the keys are as in request-fits-stop.",
        "request-not-admitted": "A request could not be served in time; the keys give "
        "the prediction, its inputs and their age.",
        "request-refused": "A request violated HTTP or the server's limits.",
        "store-unreachable": "The store could not be read.",
        "upstream-ended": "A leaving upstream no longer listens, or may have been "
        "replaced while this process stood still; its address may be reused.",
        "stream-behind": "A stream in progress won't end in time where it is, by the "
        "pace of its events; the keys give that pace, what is left, and the time that "
        "it has and needs.",
        "stream-moved": "A stream that is behind was also sent to another target; the "
        "keys give when it ends where it is and at the other target, as predicted.",
        "stream-kept": "A stream that is behind stays where it is; the keys give the "
        "reason, the best other target with the end predicted there, and how many "
        "targets there were beside those that are slow or not allowed.",
        "stream-silent": "A stream's head is silent, but not yet lost; the keys give "
        "whether the stream is sent elsewhere too, the next event predicted there, the "
        "time within which it is wanted, and the time from one event to the next.",
        "stream-went-on": "A stream that was moved has its first event at the other "
        "target; the keys give the time since the move, and the one predicted.",
        "stop-stream-ended": "A stream that a stopping process accepted by its "
        "forecast has ended; the keys give what was promised and what it had: the "
        "time from one event to the next, the time to the first one, and the time "
        "left at acceptance and at its end.",
        "superseded": "A later start of this node is known; this process stops.",
        "duty-failed": "An internal error occurred in a background task; the task "
        "starts again.",
        "evacuation-began": "The operator evacuates a failure domain; its upstreams "
        "get no new requests.",
        "evacuation-domain-unknown": "The operator evacuates a failure domain in which "
        "no upstream and no entry VM is known; nothing changes.",
        "evacuation-ended": "A failure domain is back in service; its upstreams get "
        "requests again.",
        "evacuations-unconfirmed": "This process has had no update of the fleet for "
        "longer than an evacuation may take; it may still send requests to an "
        "evacuated failure domain.",
        "entry-unreadable": "An instance record in the store is not usable.",
        "generation-unusable": "The store names a generation that a revision cannot "
        "hold; it is ignored.",
        "group-suspected": "A group's head is reported as stalled; its VMs are "
        "checked.",
        "group-phase": "A replica group entered another phase, for the reason given.",
        "history-dropped": "The store dropped changes that were not read yet; all "
        "keys are read again.",
        "header-unknown": "An upstream's answer has a header without a known "
        "meaning; each name is logged once.",
        "holder-changed": "Another process, or no process, is the holder.",
        "holding-provisionally": "No peer reaches the store; this process goes on "
        "planning.",
        "holder-key-rewritten": "The holder wrote its key again, which the store had "
        "lost when it was restored.",
        "holder-failed": "The holder failed to plan, or made no progress, and gave up "
        "its key so that another process plans.",
        "holder-lost": "This process is no longer the holder.",
        "holder-taken": "This process is the holder from now on.",
        "instance-gone": "An instance's record was removed or is no longer usable.",
        "instance-restored": "An instance that this process had dropped with its "
        "record is retained by the holder and used again.",
        "instance-retained": "An instance whose record was removed answers as "
        "before; its group goes on.",
        "instances-retained": "The holder reported which instances it retains "
        "although their records were removed.",
        "retention-ended": "An instance whose record was removed is not retained, or "
        "no longer, for the reason given.",
        "instance-reborn": "An instance has restarted under its id.",
        "target-told-silent": "Another process reported a target as stalled; this "
        "process sends it no new requests for a short time.",
        "instance-slow": "A VM reports to work much slower than usual; the holder "
        "forms its group anew without it if another VM can take its place.",
        "instance-recovered": "A VM no longer reports to be slow.",
        "instance-lost": "An instance refuses connections or has been silent for "
        "longer than callers wait, although its record is in the store; its group "
        "ends.",
        "instances-lost": "The holder reported which instances are unreachable or "
        "reachable again.",
        "instance-indirect": "An instance answers the holder only through an entry "
        "process; its group goes on, and it gets no orders.",
        "instance-indirect-ended": "An instance answers the holder itself again, "
        "answers no process, or was removed; the reason tells which.",
        "instance-regained": "A suspected or lost instance answers again.",
        "instance-suspected": "An instance answers no query; it gets no orders and "
        "no new requests, and its group goes on.",
        "instance-state": "An instance started to leave or is ready.",
        "lease-lost": "A lease ended before it was renewed.",
        "instance-leaving": "An instance has said that it leaves; the keys give its "
        "start (0 if unknown), how this process learned it, and from which VM: by the "
        "answer to a request, a health answer, a status, its record, the report of "
        "the VM that had the answer, a tunnel, or an update of the store's copy.",
        "requests-undelivered": "Requests had not arrived at an upstream a second "
        "after it began to leave, and were given up: those of this process, and "
        "those carried for other VMs.",
        "request-withheld": "A request was not sent, since its upstream has begun to "
        "leave after it was chosen, or has asked this VM for a pause; since_ms is for "
        "how long this process knows that it leaves. A warning if the upstream should "
        "not have been chosen.",
        "target-closed": "A target gets no new requests, since its upstream leaves or "
        "its group is drained; own is the number of this process's requests there.",
        "tunnel-to-paused": "A request of another VM was not carried on, since its "
        "upstream has asked this VM for a pause.",
        "tunnel-to-leaving": "A request of another VM was not carried on, since its "
        "upstream leaves; a warning if the other VM should have learned it by then.",
        "limit-announced": "An upstream announced how many requests a second it "
        "accepts, or that it has no limit any more.",
        "log-lines-dropped": "The number of log lines dropped since the start, by "
        "class.",
        "mirror-restored": "The mirror shows a store that came back from an older "
        "copy.",
        "news-unreadable": "A peer's update of the store's contents cannot be decoded.",
        "order-given": "An engine was given an order, with its outcome.",
        "node-unreachable": "This entry VM cannot reach another one and does not "
        "direct callers to it.",
        "pause-requested": "An upstream refused a request and asked this VM to send "
        "none for some seconds.",
        "peer-stale": "A peer's mirror of the store was too old, or the peer did not "
        "answer; an age of -1 is that of nothing.",
        "plan-saved": "A plan that could not be written for several tries is in the "
        "store.",
        "plan-unsaved": "The store did not accept a plan for several tries; no group "
        "that it adds is formed, and the plan is written again.",
        "query-unanswered": "An instance did not answer the entry processes that "
        "queried it for the holder.",
        "read-outdated": "A read of the whole store returned keys at older revisions "
        "than are known.",
        "record-unreadable": "A record that a process wrote to the store cannot be "
        "decoded.",
        "requests-cleared": "Suspected or quarantined traits of requests were "
        "answered, or explained by another trait; their requests may be sent again.",
        "requests-held": "Upstreams crashed while they had requests with a trait; such "
        "requests are quarantined and sent to no upstream.",
        "retries-counted": "Requests were sent to another upstream, or were denied "
        "that: the service's requests and retries in the last window, the retries that "
        "this process may grant, and the processes that share them.",
        "request-ended": "A request ended; the keys give its targets, attempts and "
        "times, how many upstreams may have begun it and how many its route allows, "
        "how long it lay unread, what became of several attempts (as answer-cut has "
        "them), who ended it and why, how long after the stop signal "
        "it came (-1: before it, or without one), the time that it had, and the "
        "longest time that was predicted for it (-1: none was needed).",
        "settings-signal": "A signal announced that the settings file changed.",
        "started": "The process has started.",
        "stopped": "The process ends; the keys count the requests and tunnels that are "
        "cut, and the requests that were accepted and refused since the stop signal.",
        "stopping": "The process got a stop signal and finishes its running requests, "
        "until ``left_ms`` are over; ``late_ms`` is how late it handled the signal.",
        "store-lost": "The store stopped answering.",
        "store-regained": "The store answers again.",
        "store-answer-unreadable": "An answer of the store cannot be decoded at all.",
        "store-row-unreadable": "A key in the store, or its revision, cannot be passed "
        "on, so that the key is ignored.",
        "store-restored": "The store came back from an older copy; its revisions and "
        "leases of before are void.",
        "target-gone": "A target was removed from this process's targets.",
        "targets-shared": "The peers that share this process's subset of targets have "
        "changed.",
        "record-not-removed": "The store did not remove the record of a trait that "
        "is no longer quarantined; the record expires with its lease.",
        "quarantine-record-unreadable": "The store's record of a quarantined trait "
        "can't be decoded; the trait is quarantined without its evidence.",
        "upstream-cold": "An upstream is cold, for the reason given; this process "
        "sends it only its share of requests, or none.",
        "upstream-path-lost": "This VM reaches no upstream directly; its "
        "connections lead through other VMs that do.",
        "upstream-path-regained": "This VM reaches upstreams by itself again.",
        "upstreams-unreachable": "The new holder reaches no upstream on any path; it "
        "waits before it plans.",
        "tunnel-refused": "Another VM requested a connection to an address where no "
        "upstream is known, or too many are open, or this VM leaves.",
        "upstream-warm": "An upstream is no longer cold.",
        "trial-begun": "A request with a suspected trait is sent to the one upstream "
        "that all processes choose for such requests.",
        "upstream-crashed": "An upstream with requests of this process no longer "
        "listens; their traits are counted.",
        "target-silent": "A group's head with requests of this process is stalled; "
        "the keys give what was predicted and for how long nothing came.",
        "target-alive": "A head that was found stalled has had an event, here or at "
        "the reporting process.",
        "target-slow": "A group's head works so much slower than predicted that it "
        "gets only probing requests.",
        "target-recovered": "A slow head is fast enough again for all requests.",
        "upstream-look-failed": "A check whether a leaving upstream has ended failed; "
        "it is repeated.",
    }
)
"""What each event means, by its name."""
