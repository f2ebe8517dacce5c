//! Messages on a stream: a length, a stamp of the hybrid clock, and the message in `bincode`.

use anyhow::{Context, ensure};
use bincode::config::{Configuration, standard};
use bytes::{Buf, BufMut, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Ticket;

/// The longest message, in bytes: a whole answer of a job of the largest size fits.
const LONGEST: usize = 64 << 20;
/// Bytes of the length.
const LENGTH: usize = 4;

/// Bytes of a ticket.
const TICKET: usize = 8;

fn config() -> Configuration {
    standard()
}

/// Appends a message.
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
    let length = buffer.len() - start - LENGTH;
    ensure!(length <= LONGEST, "link: a message of {length} bytes");
    let length = u32::try_from(length)?.to_be_bytes();
    buffer[start..start + LENGTH].copy_from_slice(&length);
    Ok(())
}

/// Appends the ticket that a stream begins with.
pub(crate) fn encode_ticket(buffer: &mut BytesMut, ticket: Ticket) {
    buffer.put_u64(ticket.0);
}

/// Takes the ticket that a stream begins with, once it is there.
pub(crate) fn decode_ticket(buffer: &mut BytesMut) -> Option<Ticket> {
    (buffer.len() >= TICKET).then(|| Ticket(buffer.get_u64()))
}

/// Takes the next whole message.
pub(crate) fn decode<M: DeserializeOwned>(
    buffer: &mut BytesMut,
) -> anyhow::Result<Option<(u64, M)>> {
    if buffer.len() < LENGTH {
        return Ok(None);
    }
    let length = buffer[..LENGTH]
        .iter()
        .fold(0, |n, b| n << 8 | usize::from(*b));
    ensure!(length <= LONGEST, "link: a message of {length} bytes");
    if buffer.len() < LENGTH + length {
        return Ok(None);
    }
    buffer.advance(LENGTH);
    let body = buffer.split_to(length);
    let decoded = bincode::serde::decode_from_slice(&body, config());
    let ((stamp, msg), used) = decoded.context("link: cannot decode a message")?;
    ensure!(used == length, "link: a message with bytes left over");
    Ok(Some((stamp, msg)))
}
