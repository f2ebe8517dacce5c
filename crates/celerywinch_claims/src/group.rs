//! The replicas of a key and its home data centre.

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
    /// A group of the given replicas.
    #[must_use]
    pub fn new(mut members: Vec<InstanceId>) -> Self {
        members.sort_unstable();
        members.dedup();
        Self {
            members,
            witness: None,
        }
    }

    /// Adds a replica in another data centre, which is asked last.
    #[must_use]
    pub fn with_witness(mut self, witness: InstanceId) -> Self {
        self.witness = Some(witness);
        self.members.push(witness);
        self.members.sort_unstable();
        self.members.dedup();
        self
    }

    /// The replicas.
    #[must_use]
    pub fn members(&self) -> &[InstanceId] {
        &self.members
    }

    /// How many replicas make a majority.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// The replicas in the order in which they are asked for a key's vote.
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

/// Which data centre is home to a key, and which replicas it has there.
///
/// The table is the same in every process: it follows from the instances named in the settings.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    names: BTreeMap<String, DataCentreId>,
    groups: BTreeMap<DataCentreId, Arc<Group>>,
    unhinted: Vec<DataCentreId>,
}

/// The most replicas a group has: a third survives the loss of one, more only cost messages.
const MAX_REPLICAS: usize = 3;

impl Homes {
    /// Lays out the groups.
    ///
    /// A data centre with three or more entries has three replicas, all its own. One with two has
    /// its two and a third in the next data centre, so that the loss of one instance does not stop
    /// it, and being cut off does not either; only both together do. One with a single entry has
    /// that entry alone: replicas elsewhere would stop it when it is cut off, and its loss leaves
    /// nothing there to serve.
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
            .map(|(dc, members)| (*dc, Arc::new(layout(*dc, members, &local))))
            .collect();
        let unhinted = unhinted_homes(&local);
        Self {
            names,
            groups,
            unhinted,
        }
    }

    /// The home of a key: the data centre it names, or one chosen by its hash.
    ///
    /// Falls back to the hash for an unknown name, so that a key's home never depends on which
    /// entry is asked.
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

    /// The replicas of a data centre's keys.
    #[must_use]
    pub fn group(&self, dc: DataCentreId) -> Option<&Arc<Group>> {
        self.groups.get(&dc)
    }

    /// The data centres whose groups `instance` is a replica of.
    pub fn memberships(&self, instance: InstanceId) -> impl Iterator<Item = DataCentreId> + '_ {
        self.groups
            .iter()
            .filter(move |(_, group)| group.contains(instance))
            .map(|(dc, _)| *dc)
    }
}

fn layout(
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

/// One entry of the next data centre, by number, that has the most entries.
fn witness(dc: DataCentreId, all: &BTreeMap<DataCentreId, Vec<InstanceId>>) -> Option<InstanceId> {
    all.iter()
        .filter(|(other, _)| **other != dc)
        .max_by_key(|(other, members)| (members.len(), score(u64::from(dc.0), u64::from(other.0))))
        .map(|(_, members)| members[usize::from(dc.0) % members.len()])
}

/// Keys without a home go to data centres that survive the loss of one instance, where possible.
fn unhinted_homes(local: &BTreeMap<DataCentreId, Vec<InstanceId>>) -> Vec<DataCentreId> {
    let sturdy: Vec<_> = local
        .iter()
        .filter(|(_, members)| members.len() > 1)
        .map(|(dc, _)| *dc)
        .collect();
    if sturdy.is_empty() {
        return local.keys().copied().collect();
    }
    sturdy
}
