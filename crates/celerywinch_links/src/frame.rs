//! Frames of messages on a stream: a length, a timestamp of the hybrid clock, and the message in `bincode`.

use anyhow::{Context, ensure};
use bincode::config::{Configuration, standard};
use bytes::{Buf, BufMut, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Ticket;

/// Maximum length of a message in bytes: the whole answer to a job of the largest size fits.
const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Size of the length field in bytes.
const LENGTH_BYTES: usize = 4;

/// Size of a ticket in bytes.
const TICKET_BYTES: usize = 8;

fn config() -> Configuration {
    standard()
}

/// Appends a message with its timestamp.
pub(crate) fn encode<M: Serialize>(
    buffer: &mut BytesMut,
    stamp: u64,
    msg: &M,
) -> anyhow::Result<()> {
    let start = buffer.len();
    buffer.put_u32(0);
    let mut writer = buffer.writer();
    bincode::serde::encode_into_std_write((stamp, msg), &mut writer, config())
        .context("link: cannot encode a message")?;
    let length = buffer.len() - start - LENGTH_BYTES;
    ensure!(
        length <= MAX_MESSAGE_BYTES,
        "link: message of {length} bytes exceeds the limit of {MAX_MESSAGE_BYTES}"
    );
    let length = u32::try_from(length)?.to_be_bytes();
    buffer[start..start + LENGTH_BYTES].copy_from_slice(&length);
    Ok(())
}

/// Appends the ticket that a stream begins with.
pub(crate) fn encode_ticket(buffer: &mut BytesMut, ticket: Ticket) {
    buffer.put_u64(ticket.0);
}

/// Removes and returns the ticket that a stream begins with, once it has arrived.
pub(crate) fn decode_ticket(buffer: &mut BytesMut) -> Option<Ticket> {
    (buffer.len() >= TICKET_BYTES).then(|| Ticket(buffer.get_u64()))
}

/// Removes and returns the next message, once it has arrived completely.
pub(crate) fn decode<M: DeserializeOwned>(
    buffer: &mut BytesMut,
) -> anyhow::Result<Option<(u64, M)>> {
    if buffer.len() < LENGTH_BYTES {
        return Ok(None);
    }
    let length = buffer[..LENGTH_BYTES]
        .iter()
        .fold(0, |n, b| n << 8 | usize::from(*b));
    ensure!(
        length <= MAX_MESSAGE_BYTES,
        "link: message of {length} bytes exceeds the limit of {MAX_MESSAGE_BYTES}"
    );
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    let body = buffer.split_to(length);
    let decoded = bincode::serde::decode_from_slice(&body, config());
    let ((stamp, msg), used) = decoded.context("link: cannot decode a message")?;
    ensure!(
        used == length,
        "link: message has trailing bytes: {used} of {length} decoded"
    );
    Ok(Some((stamp, msg)))
}
