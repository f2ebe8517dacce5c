//! The home data centre of a key, and its replicas.

use std::collections::BTreeMap;
use std::sync::Arc;

use celerywinch_types::{DataCentreId, InstanceId, Key, score};

/// The replicas that agree on the keys of one data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    members: Vec<InstanceId>,
    witness: Option<InstanceId>,
}

impl Group {
    /// Creates a group of the given replicas.
    #[must_use]
    pub fn new(mut members: Vec<InstanceId>) -> Self {
        members.sort_unstable();
        members.dedup();
        Self {
            members,
            witness: None,
        }
    }

    /// Adds a witness, a replica in another data centre that is asked last.
    #[must_use]
    pub fn with_witness(mut self, witness: InstanceId) -> Self {
        self.witness = Some(witness);
        self.members.push(witness);
        self.members.sort_unstable();
        self.members.dedup();
        self
    }

    /// Returns the replicas.
    #[must_use]
    pub fn members(&self) -> &[InstanceId] {
        &self.members
    }

    /// Returns the number of replicas in a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns the replicas in the order in which they are asked for their votes on a key.
    #[must_use]
    pub fn order(&self, key: &Key) -> Vec<InstanceId> {
        let hash = key.hash64();
        let mut order = self.members.clone();
        order.sort_unstable_by_key(|id| (Some(*id) == self.witness, score(hash, u64::from(id.0))));
        order
    }

    /// Whether `instance` is a replica of the group.
    #[must_use]
    pub fn contains(&self, instance: InstanceId) -> bool {
        self.members.contains(&instance)
    }
}

/// The home data centres of keys, and their groups of replicas.
///
/// The table is the same in every process, because it is derived from the instances in the settings.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    names: BTreeMap<String, DataCentreId>,
    groups: BTreeMap<DataCentreId, Arc<Group>>,
    unhinted: Vec<DataCentreId>,
}

/// Largest number of replicas in a group. Three survive the loss of one; more would only cost messages.
const MAX_REPLICAS: usize = 3;

impl Homes {
    /// Assigns entries to the groups of all data centres.
    ///
    /// A data centre with three or more entries has three replicas, all of them local. One with two entries has
    /// these two and a witness in another data centre, so that it stays available after the loss of one instance,
    /// and while it is cut off, but not after both. One with a single entry has only that entry as a replica: with
    /// replicas elsewhere it would be unavailable while it is cut off, and after the loss of the entry there is nothing
    /// left to serve.
    #[must_use]
    pub fn new(entries: &[(InstanceId, DataCentreId, String)]) -> Self {
        let mut local: BTreeMap<DataCentreId, Vec<InstanceId>> = BTreeMap::new();
        let mut names = BTreeMap::new();
        for (instance, dc, name) in entries {
            local.entry(*dc).or_default().push(*instance);
            names.insert(name.clone(), *dc);
        }
        for members in local.values_mut() {
            members.sort_unstable();
        }
        let groups: BTreeMap<_, _> = local
            .iter()
            .map(|(dc, members)| (*dc, Arc::new(group_of(*dc, members, &local))))
            .collect();
        let unhinted = unhinted_homes(&local);
        Self {
            names,
            groups,
            unhinted,
        }
    }

    /// Returns the home of a key: the data centre that the key names, or one chosen by its hash.
    ///
    /// An unknown name falls back to the hash, so that the home of a key does not depend on the entry that is asked.
    #[must_use]
    pub fn home(&self, key: &Key) -> Option<DataCentreId> {
        if let Some(dc) = key.home_hint().and_then(|name| self.names.get(name)) {
            return Some(*dc);
        }
        let hash = key.hash64();
        self.unhinted
            .iter()
            .copied()
            .max_by_key(|dc| score(hash, u64::from(dc.0)))
    }

    /// Returns the replicas of the keys of a data centre.
    #[must_use]
    pub fn group(&self, dc: DataCentreId) -> Option<&Arc<Group>> {
        self.groups.get(&dc)
    }

    /// Returns the data centres in whose groups `instance` is a replica.
    pub fn memberships(&self, instance: InstanceId) -> impl Iterator<Item = DataCentreId> + '_ {
        self.groups
            .iter()
            .filter(move |(_, group)| group.contains(instance))
            .map(|(dc, _)| *dc)
    }
}

fn group_of(
    dc: DataCentreId,
    members: &[InstanceId],
    all: &BTreeMap<DataCentreId, Vec<InstanceId>>,
) -> Group {
    let group = Group::new(members.iter().copied().take(MAX_REPLICAS).collect());
    match witness(dc, all) {
        Some(witness) if members.len() == 2 => group.with_witness(witness),
        _ => group,
    }
}

/// Returns the witness for a data centre: an entry of the other data centre with the most entries; among several, of the
/// one with the highest rendezvous score.
fn witness(dc: DataCentreId, all: &BTreeMap<DataCentreId, Vec<InstanceId>>) -> Option<InstanceId> {
    all.iter()
        .filter(|(other, _)| **other != dc)
        .max_by_key(|(other, members)| (members.len(), score(u64::from(dc.0), u64::from(other.0))))
        .map(|(_, members)| members[usize::from(dc.0) % members.len()])
}

/// Returns the homes of keys that name none: data centres with more than one entry, which survive the loss of one, or all
/// if there is no such data centre.
fn unhinted_homes(local: &BTreeMap<DataCentreId, Vec<InstanceId>>) -> Vec<DataCentreId> {
    let redundant: Vec<_> = local
        .iter()
        .filter(|(_, members)| members.len() > 1)
        .map(|(dc, _)| *dc)
        .collect();
    if redundant.is_empty() {
        return local.keys().copied().collect();
    }
    redundant
}
