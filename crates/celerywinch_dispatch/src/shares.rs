//! Which entry owns a slot of an endpoint.

use std::net::SocketAddr;

use celerywinch_types::{InstanceId, score, stable_hash};

/// How many of an endpoint's slots are owned by `me`, among `owners`.
///
/// Every slot goes to the owner with the highest rendezvous score. All entries of a data centre
/// that agree on who is alive agree on the shares without a message; while they do not, a slot may
/// have two owners, and the endpoint's own refusal ("not run") sends the task elsewhere. When an
/// entry joins or leaves, only its own slots change hands.
#[must_use]
pub fn share(addr: SocketAddr, slots: u16, owners: &[InstanceId], me: InstanceId) -> u16 {
    let item = stable_hash(addr.to_string().as_bytes());
    let owned = (0..slots).filter(|slot| owner(item, *slot, owners) == Some(me));
    u16::try_from(owned.count()).unwrap_or(slots)
}

/// Slots are dealt in rounds of one to each owner, the order drawn anew for every round, so that
/// shares of one endpoint differ by at most one.
fn owner(item: u64, slot: u16, owners: &[InstanceId]) -> Option<InstanceId> {
    let count = u16::try_from(owners.len()).ok().filter(|n| *n > 0)?;
    let round = u64::from(slot / count);
    let mut order: Vec<_> = owners.to_vec();
    order.sort_unstable_by_key(|id| score(item.wrapping_add(round), u64::from(id.0)));
    Some(order[usize::from(slot % count)])
}
