//! Ownership of the slots of an endpoint.

use std::net::SocketAddr;

use celerywinch_types::{InstanceId, score, stable_hash};

/// Returns how many of an endpoint's slots `instance` owns, among `owners`.
///
/// Every slot goes to the owner with the highest rendezvous score. All entries of a data centre that agree on the live
/// members agree on the shares without a message. While they do not, a slot may have two owners; the endpoint then
/// refuses a task ("not run"), which is sent elsewhere. When an entry joins or leaves, only its own slots change owner.
#[must_use]
pub fn share(addr: SocketAddr, slots: u16, owners: &[InstanceId], instance: InstanceId) -> u16 {
    let item = stable_hash(addr.to_string().as_bytes());
    let owned = (0..slots).filter(|slot| owner(item, *slot, owners) == Some(instance));
    u16::try_from(owned.count()).unwrap_or(slots)
}

/// Returns the owner of a slot. Slots are assigned in rounds of one slot per owner, in a different order each round, so
/// that the shares of one endpoint differ by at most one.
fn owner(item: u64, slot: u16, owners: &[InstanceId]) -> Option<InstanceId> {
    let count = u16::try_from(owners.len()).ok().filter(|n| *n > 0)?;
    let round = u64::from(slot / count);
    let mut order: Vec<_> = owners.to_vec();
    order.sort_unstable_by_key(|id| score(item.wrapping_add(round), u64::from(id.0)));
    Some(order[usize::from(slot % count)])
}
