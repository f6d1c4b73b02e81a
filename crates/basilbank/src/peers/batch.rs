//! Which messages share a packet.

use basilbank_wire::{Body, MAC_LEN, Message};
use prost::{Message as _, length_delimiter_len};

/// Most bytes of a packet beside its messages: two fixed fields of 9 and two variable ones of up to
/// 11 bytes.
const HEADER: usize = 9 + 11 + 11 + 9;

/// Messages for one peer, by packet.
#[derive(Clone, PartialEq, Debug, Default)]
pub struct Parcels {
    /// Each fits a datagram.
    pub datagrams: Vec<Vec<Message>>,
    /// These go over TCP, together.
    pub stream: Vec<Message>,
}

/// Spreads messages over packets of at most `datagram` sealed bytes, in order. A message that fits
/// none goes over TCP, and so do the catalogue and the VM list with the questions for them: they are
/// asked for seldom, and a lost one would delay a change by a whole heartbeat.
#[must_use]
pub fn split(messages: Vec<Message>, datagram: usize) -> Parcels {
    let room = datagram - MAC_LEN - HEADER;
    let mut parcels = Parcels::default();
    let mut left = 0;
    for message in messages {
        let size = size(&message);
        if room < size || is_for_stream(&message) {
            parcels.stream.push(message);
            continue;
        }
        match parcels.datagrams.last_mut() {
            Some(last) if size <= left => {
                last.push(message);
                left -= size;
            }
            _ => {
                parcels.datagrams.push(vec![message]);
                left = room - size;
            }
        }
    }
    parcels
}

/// Bytes of a message within a packet: a tag, the length, and the message.
fn size(message: &Message) -> usize {
    let len = message.encoded_len();
    1 + length_delimiter_len(len) + len
}

fn is_for_stream(message: &Message) -> bool {
    matches!(
        message.body,
        Some(Body::FetchCatalogue(_) | Body::Catalogue(_) | Body::FetchVms(_) | Body::Vms(_))
    )
}
