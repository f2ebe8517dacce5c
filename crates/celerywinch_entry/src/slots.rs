//! Loans of idle slots between the entries of a data centre.

use std::time::Duration;

use celerywinch_dispatch::{LOAN_LEASE, Loan};
use celerywinch_types::{InstanceId, PeerMsg, SlotMsg, Time};

use crate::{Entry, Output};

/// Interval between requests for slots.
const BORROW_INTERVAL: Duration = Duration::from_millis(3);

impl Entry {
    /// Returns loans that have expired or are not needed, and requests slots if tasks wait.
    pub(crate) fn tick_slots(&mut self, now: Time, out: &mut Vec<Output>) {
        self.return_slots(now, out);
        self.borrow_slots(now, out);
    }

    /// Returns loans that have expired or are not used.
    fn return_slots(&mut self, now: Time, out: &mut Vec<Output>) {
        for (peer, loan) in self.dispatch.expire_loans(now) {
            let msg = PeerMsg::Slot(SlotMsg::Return { loan });
            out.push(Output::Send(peer, msg));
        }
    }

    /// Requests slots from all other entries of the data centre while tasks wait.
    ///
    /// Which entries have idle slots changes within milliseconds, so heartbeats report it too late: when requests went
    /// only to peers with an empty queue in their last heartbeat, slots were idle at one entry while tasks waited at
    /// another.
    pub(crate) fn borrow_slots(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.dispatch.queued() == 0 || now.since(self.last_borrow) < BORROW_INTERVAL {
            return;
        }
        self.last_borrow = now;
        let lenders: Vec<_> = self.peers.local().map(|(id, _)| id).collect();
        for lender in lenders {
            for (kind, count) in self.dispatch.slot_demand() {
                let count = u16::try_from(count).unwrap_or(u16::MAX);
                let msg = PeerMsg::Slot(SlotMsg::Borrow { kind, count });
                out.push(Output::Send(lender, msg));
            }
        }
    }

    /// Handles a message about loans of slots.
    pub(crate) fn slot_msg(
        &mut self,
        now: Time,
        from: InstanceId,
        msg: SlotMsg,
        out: &mut Vec<Output>,
    ) {
        match msg {
            SlotMsg::Borrow { kind, count } => {
                if let Some((loan, slots)) = self.dispatch.lend(now, from, &kind, count) {
                    let lease = LOAN_LEASE;
                    let msg = PeerMsg::Slot(SlotMsg::Lend { slots, lease, loan });
                    out.push(Output::Send(from, msg));
                }
            }
            SlotMsg::Lend { slots, lease, loan } => {
                let loan = Loan {
                    id: loan,
                    peer: from,
                    slots,
                    until: now + lease,
                    used: now,
                };
                self.dispatch.borrow(now, loan);
            }
            SlotMsg::Return { loan } => self.dispatch.end_loan(from, loan),
        }
    }
}
