//! Idle slots lent to an entry that needs them.

use std::net::SocketAddr;
use std::time::Duration;

use celerywinch_types::{InstanceId, Time};

use crate::Dispatch;

/// How long a loan lasts unless it is given back earlier.
///
/// The lender uses a lent slot again when the lease ends, even if the borrower is gone. A borrower
/// that still has a task there makes the endpoint refuse one task, which is sent elsewhere.
pub const LEASE: Duration = Duration::from_secs(5);

/// The borrower stops to use a loan this long before it ends.
const MARGIN: Duration = Duration::from_millis(500);

/// The borrower gives a loan back when it had no use for it this long.
const IDLE: Duration = Duration::from_millis(40);

/// One loan, at the lender's or the borrower's side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Names it at the lender.
    pub id: u64,
    /// The other side.
    pub peer: InstanceId,
    /// Endpoint and number of slots.
    pub slots: Vec<(SocketAddr, u16)>,
    /// When it ends on this side's clock.
    pub until: Time,
    /// When it was last of use, at the borrower.
    pub used: Time,
}

impl Dispatch {
    /// Lends up to half of the idle slots of a kind's endpoints, if nothing of that kind waits here.
    pub fn lend(
        &mut self,
        now: Time,
        peer: InstanceId,
        kind: &str,
        count: u16,
    ) -> Option<(u64, Vec<(SocketAddr, u16)>)> {
        if self.queue.kind_len(kind) > 0 {
            return None;
        }
        let ids = self.kinds.get(kind)?.endpoints.clone();
        let free: u16 = ids.iter().map(|id| self.endpoints[*id].free(now)).sum();
        let mut left = count.min(free.div_ceil(2));
        let mut slots = Vec::new();
        for id in ids {
            let endpoint = &mut self.endpoints[id];
            let give = endpoint.free(now).min(left);
            // A borrowed slot is not lent on: its lender would wait for it in vain.
            let give = give.min(endpoint.share.saturating_sub(endpoint.lent));
            if give > 0 && !endpoint.health.doubtful() {
                endpoint.lent += give;
                left -= give;
                slots.push((endpoint.note.addr, give));
            }
        }
        if slots.is_empty() {
            return None;
        }
        let id = self.next_loan;
        self.next_loan += 1;
        let loan = Loan {
            id,
            peer,
            slots: slots.clone(),
            until: now + LEASE,
            used: now,
        };
        self.lent.insert(id, loan);
        Some((id, slots))
    }

    /// Takes a loan; slots of endpoints that are not known here are of no use and stay unused.
    pub fn borrow(&mut self, now: Time, loan: Loan) {
        for (addr, count) in &loan.slots {
            if let Some(id) = self.by_addr.get(addr) {
                self.endpoints[*id].borrowed += count;
            }
        }
        let until = now + (LEASE - MARGIN);
        self.borrowed.push(Loan {
            until,
            used: now,
            ..loan
        });
    }

    /// A loan came back.
    pub fn end_loan(&mut self, peer: InstanceId, id: u64) {
        if self.lent.get(&id).is_some_and(|loan| loan.peer == peer)
            && let Some(loan) = self.lent.remove(&id)
        {
            self.unlend(&loan);
        }
    }

    fn unlend(&mut self, loan: &Loan) {
        for (addr, count) in &loan.slots {
            if let Some(id) = self.by_addr.get(addr) {
                let endpoint = &mut self.endpoints[*id];
                endpoint.lent = endpoint.lent.saturating_sub(*count);
            }
        }
    }

    /// Ends loans that ran out, and gives back those of no use; returns what to give back.
    pub fn expire_loans(&mut self, now: Time) -> Vec<(InstanceId, u64)> {
        let over: Vec<_> = self
            .lent
            .values()
            .filter(|l| l.until <= now)
            .cloned()
            .collect();
        for loan in over {
            self.unlend(&loan);
            self.lent.remove(&loan.id);
        }
        let loans = std::mem::take(&mut self.borrowed);
        let (over, kept): (Vec<_>, Vec<_>) = loans.into_iter().partition(|loan| {
            loan.until <= now || (self.idle(loan) && now.since(loan.used) > IDLE)
        });
        self.borrowed = kept;
        for loan in &over {
            self.unborrow(loan);
        }
        over.into_iter().map(|loan| (loan.peer, loan.id)).collect()
    }

    fn unborrow(&mut self, loan: &Loan) {
        for (addr, count) in &loan.slots {
            if let Some(id) = self.by_addr.get(addr) {
                let endpoint = &mut self.endpoints[*id];
                endpoint.borrowed = endpoint.borrowed.saturating_sub(*count);
            }
        }
    }

    /// Whether a loan's slots are idle and would not be needed if they were gone.
    fn idle(&self, loan: &Loan) -> bool {
        self.queue.len() == 0
            && loan.slots.iter().all(|(addr, count)| {
                self.by_addr.get(addr).is_none_or(|id| {
                    let endpoint = &self.endpoints[*id];
                    endpoint.in_flight + count <= endpoint.own()
                })
            })
    }
}
