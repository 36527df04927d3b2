//! The messages between members and voters, and their encoding.

use crate::ledger::{Epoch, Life};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The version of the message format; messages of other versions are dropped and counted.
pub const MESSAGE_VERSION: u8 = 1;
/// The maximum length of a message, in bytes: large enough for all duties of a fleet and a compacted log.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Identifies the folder that stores a voter's state. A voter whose folder was lost gets a new identifier.
pub type FolderId = u64;

/// A message between members and voters. The order of the variants and fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A member asks a voter to renew its promise.
    RenewLease {
        /// The number of the request, chosen by the member.
        request_id: u64,
        /// The number of the last log entry up to which the member knows its duties. It no longer acts on any
        /// duty that it had lost by then.
        known_upto: u64,
    },
    /// A voter answers a lease request.
    LeaseGranted {
        /// The number of the request that this answers.
        request_id: u64,
        /// The number of the last decided log entry that the voter knows.
        decided_upto: u64,
        /// The grant covers assignments up to this epoch; later ones are held back. `None` means that the
        /// voter can't promise anything yet.
        effective_upto: Option<Epoch>,
        /// The duties that the member owns; `None` if they have not changed since the entry that the member
        /// knew.
        owned: Option<Vec<(String, Epoch)>>,
    },
    /// A voter notifies a member that the duties it owns have changed.
    AssignmentChanged,
    /// A member leaves in an orderly way: it stops acting on all its duties.
    Leave {
        /// The first request number that the member has not used. Requests up to this number are void,
        /// whether they arrive before or after this message.
        request_id: u64,
    },
    /// An operator requests another owner for a duty.
    MoveDuty {
        /// The name of the duty.
        duty: String,
        /// The life of the requested owner; 0 stands for any member but the present owner.
        to: Life,
    },
    /// A message of the consensus library between two voters.
    Consensus {
        /// The number of records that the sender had stored when it started.
        records_at_start: u64,
        /// The number of records that the sender has stored by now.
        records_stored: u64,
        /// The library's message in its postcard encoding.
        bytes: Vec<u8>,
    },
    /// A voter without any stored state asks another voter for its folder and state.
    StateQuery {
        /// The identifier of the asking voter's folder.
        folder: FolderId,
    },
    /// The answer to a [`Message::StateQuery`].
    StateReport {
        /// The identifier of the sender's folder.
        folder: FolderId,
        /// The folder of each voter at the first start of the fleet; `None` if the sender has not started
        /// voting.
        founding_folders: Option<BTreeMap<u64, FolderId>>,
    },
    /// The recipient's stored state is an older copy of a state that it had before: the recipient may not
    /// vote.
    OldCopy {
        /// The life of the recipient to which this applies. The message may arrive late, in a later life to
        /// which it does not apply.
        life: Life,
    },
}

impl Message {
    /// Encodes the message with the version and the sender's roster, a hash of the ordered list of voters,
    /// which has to be the same for all members.
    pub fn to_bytes(&self, roster: u64) -> Vec<u8> {
        let mut out = vec![MESSAGE_VERSION];
        out.extend(roster.to_be_bytes());
        // Encoding plain data into memory does not fail.
        out.extend(postcard::to_allocvec(self).unwrap_or_default());
        out
    }

    /// Decodes a message; the sender's version and roster have to match.
    pub fn from_bytes(roster: u64, bytes: &[u8]) -> Result<Message, MessageError> {
        let (&MESSAGE_VERSION, rest) = bytes.split_first().ok_or(MessageError::Malformed)? else {
            return Err(MessageError::OtherVersion);
        };
        let (sender_roster, rest) = rest.split_at_checked(8).ok_or(MessageError::Malformed)?;
        if sender_roster != roster.to_be_bytes() {
            return Err(MessageError::OtherRoster);
        }
        match postcard::from_bytes(rest) {
            Ok(message) if rest.len() <= MAX_MESSAGE_BYTES => Ok(message),
            _ => Err(MessageError::Malformed),
        }
    }
}

/// The reason why a message could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// The message is truncated, too long or not a valid encoding.
    Malformed,
    /// The message has another version of the format.
    OtherVersion,
    /// The sender's configuration lists other voters, or the same voters in another order.
    OtherRoster,
}

/// The sender of a message, as authenticated by the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sender {
    /// The sender's life.
    pub life: Life,
    /// The sender's voter number; `None` if it is not a voter.
    pub voter: Option<u64>,
}
