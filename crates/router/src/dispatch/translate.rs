//! Converts calls to queue owners to wire messages and back.

use courseshunt_queue::{OwnerCall, QueueKey};
use courseshunt_wire::Message;

/// Converts a call to its message.
pub fn message_of(queue: QueueKey, call: OwnerCall) -> Message {
    match call {
        OwnerCall::Offer(ticket) => Message::Offer { queue, ticket },
        OwnerCall::Cancel(request) => Message::CancelTicket { queue, request },
        OwnerCall::Adopt(grants) => Message::AdoptGrants { queue, grants },
        OwnerCall::Started(grant) => Message::GrantStarted { queue, grant },
        OwnerCall::Returned(grant, outcome) => Message::GrantReturned {
            queue,
            grant,
            outcome,
        },
    }
}

/// Converts a message to a call; `None` if the message is not a call.
pub fn call_of(message: Message) -> Option<(QueueKey, OwnerCall)> {
    match message {
        Message::Offer { queue, ticket } => Some((queue, OwnerCall::Offer(ticket))),
        Message::CancelTicket { queue, request } => Some((queue, OwnerCall::Cancel(request))),
        Message::AdoptGrants { queue, grants } => Some((queue, OwnerCall::Adopt(grants))),
        Message::GrantStarted { queue, grant } => Some((queue, OwnerCall::Started(grant))),
        Message::GrantReturned {
            queue,
            grant,
            outcome,
        } => Some((queue, OwnerCall::Returned(grant, outcome))),
        _ => None,
    }
}
