//! Loans of idle slots between entries.

use std::net::SocketAddr;
use std::time::Duration;

use celerywinch_types::{InstanceId, Time};

use crate::Dispatch;

/// How long a loan lasts unless it is returned earlier.
///
/// The lender uses a lent slot again when the lease ends, even if the borrower is gone. If the borrower still has a task
/// there, the endpoint refuses one task, which is then sent elsewhere.
pub const LEASE: Duration = Duration::from_secs(5);

/// How long before its end the borrower stops using a loan.
const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// How long a borrower keeps a loan that it does not use.
const IDLE_TIMEOUT: Duration = Duration::from_millis(40);

/// One loan, as seen by the lender or the borrower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loan {
    /// Its number at the lender.
    pub id: u64,
    /// The other side.
    pub peer: InstanceId,
    /// The endpoints and the number of slots lent at each.
    pub slots: Vec<(SocketAddr, u16)>,
    /// When it ends, by this side's clock.
    pub until: Time,
    /// When the borrower last used it.
    pub used: Time,
}

impl Dispatch {
    /// Lends up to half of the idle slots of a kind's endpoints, if no task of that kind is queued here.
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
        let mut remaining = count.min(free.div_ceil(2));
        let mut slots = Vec::new();
        for id in ids {
            let endpoint = &mut self.endpoints[id];
            let lendable = endpoint.free(now).min(remaining);
            // A borrowed slot is not lent on, because its lender would not get it back in time.
            let lendable = lendable.min(endpoint.share.saturating_sub(endpoint.lent));
            if lendable > 0 && !endpoint.health.is_suspect() {
                endpoint.lent += lendable;
                remaining -= lendable;
                slots.push((endpoint.announcement.addr, lendable));
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

    /// Adds a borrowed loan. Slots of endpoints that are not known here stay unused.
    pub fn borrow(&mut self, now: Time, loan: Loan) {
        for (addr, count) in &loan.slots {
            if let Some(id) = self.by_addr.get(addr) {
                self.endpoints[*id].borrowed += count;
            }
        }
        let until = now + (LEASE - LEASE_MARGIN);
        self.borrowed.push(Loan {
            until,
            used: now,
            ..loan
        });
    }

    /// Ends a loan that its borrower has returned.
    pub fn end_loan(&mut self, peer: InstanceId, id: u64) {
        if self.lent.get(&id).is_some_and(|loan| loan.peer == peer)
            && let Some(loan) = self.lent.remove(&id)
        {
            self.end_lent(&loan);
        }
    }

    fn end_lent(&mut self, loan: &Loan) {
        for (addr, count) in &loan.slots {
            if let Some(id) = self.by_addr.get(addr) {
                let endpoint = &mut self.endpoints[*id];
                endpoint.lent = endpoint.lent.saturating_sub(*count);
            }
        }
    }

    /// Ends expired loans, and borrowed ones that are not used. Returns the lender and number of each loan to return.
    pub fn expire_loans(&mut self, now: Time) -> Vec<(InstanceId, u64)> {
        let expired: Vec<_> = self
            .lent
            .values()
            .filter(|l| l.until <= now)
            .cloned()
            .collect();
        for loan in expired {
            self.end_lent(&loan);
            self.lent.remove(&loan.id);
        }
        let loans = std::mem::take(&mut self.borrowed);
        let (expired, kept): (Vec<_>, Vec<_>) = loans.into_iter().partition(|loan| {
            loan.until <= now || (self.is_idle(loan) && now.since(loan.used) > IDLE_TIMEOUT)
        });
        self.borrowed = kept;
        for loan in &expired {
            self.end_borrowed(loan);
        }
        expired
            .into_iter()
            .map(|loan| (loan.peer, loan.id))
            .collect()
    }

    fn end_borrowed(&mut self, loan: &Loan) {
        for (addr, count) in &loan.slots {
            if let Some(id) = self.by_addr.get(addr) {
                let endpoint = &mut self.endpoints[*id];
                endpoint.borrowed = endpoint.borrowed.saturating_sub(*count);
            }
        }
    }

    /// Whether a borrowed loan is not needed: nothing is queued, and the calls in flight fit into the other slots.
    fn is_idle(&self, loan: &Loan) -> bool {
        self.queue.len() == 0
            && loan.slots.iter().all(|(addr, count)| {
                self.by_addr.get(addr).is_none_or(|id| {
                    let endpoint = &self.endpoints[*id];
                    endpoint.in_flight + count <= endpoint.own_slots()
                })
            })
    }
}
