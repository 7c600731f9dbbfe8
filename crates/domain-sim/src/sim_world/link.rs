//! Links of bounded rate over which hosts receive the pages of the log.

use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::action::{CallTicket, ResponseTimeout};
use flamingowalk_domain::process::event::HostEvent;

use crate::sim_world::{HOP_DELAY, SimWorld, TICK_INTERVAL, WorldEvent};

/// Interval at which a host learns of the progress of a page.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);

/// A page of the log on its way to a host.
#[derive(Debug)]
pub(super) struct Transfer {
    host: usize,
    incarnation: u64,
    ticket: CallTicket,
    /// Bytes that have not arrived yet.
    remaining: u64,
    /// Whether its connection is silent.
    is_stalled: bool,
    /// When bytes last arrived.
    progressed_at: MonotonicTime,
    /// When the host learned last that bytes arrived.
    reported_at: Option<MonotonicTime>,
    page: HostEvent,
}

/// A read whose response may not arrive in time.
#[derive(Debug)]
pub(super) struct ReadExpiry {
    pub(super) host: usize,
    pub(super) incarnation: u64,
    pub(super) ticket: CallTicket,
    pub(super) sent_at: MonotonicTime,
    pub(super) timeout: ResponseTimeout,
    pub(super) no_answer: HostEvent,
}

impl SimWorld {
    /// Sends a response of the log over the link of a host. Only pages take time.
    pub(super) fn start_transfer(&mut self, index: usize, incarnation: u64, event: HostEvent) {
        let Some((ticket, remaining)) = self.page_size(&event) else {
            return self.push(HOP_DELAY, WorldEvent::ToHost(index, incarnation, event));
        };
        self.transfers.push(Transfer {
            host: index,
            incarnation,
            ticket,
            remaining,
            is_stalled: false,
            progressed_at: self.now,
            reported_at: None,
            page: event,
        });
    }

    /// Makes the connections silent over which pages are arriving.
    pub fn stall_transfers(&mut self) {
        for transfer in &mut self.transfers {
            transfer.is_stalled = true;
        }
    }

    fn page_size(&self, event: &HostEvent) -> Option<(CallTicket, u64)> {
        match event {
            HostEvent::Read(ticket, Ok(page)) => Some((*ticket, self.log.size(&page.records))),
            HostEvent::ReadNewest(ticket, Ok(page)) => {
                Some((*ticket, self.log.size(&page.records)))
            }
            _ => None,
        }
    }

    /// Moves bytes over the links for one tick.
    pub(super) fn advance_transfers(&mut self) {
        let Some(rate) = self.link_rate else {
            return;
        };
        let tick_bytes = rate * TICK_INTERVAL.as_micros() as u64 / 1_000_000;
        let mut shares: BTreeMap<usize, u64> = BTreeMap::new();
        for transfer in &self.transfers {
            *shares.entry(transfer.host).or_default() += 1;
        }
        let mut transfers = std::mem::take(&mut self.transfers);
        for transfer in &mut transfers {
            if transfer.is_stalled {
                continue;
            }
            let bytes = tick_bytes / shares[&transfer.host];
            transfer.remaining = transfer.remaining.saturating_sub(bytes);
            transfer.progressed_at = self.now;
            let next_report_at = transfer.reported_at.map(|at| at + PROGRESS_INTERVAL);
            if transfer.remaining > 0 && next_report_at.is_none_or(|at| self.now >= at) {
                transfer.reported_at = Some(self.now);
                let event = HostEvent::ReadProgressed(transfer.ticket);
                let event = WorldEvent::ToHost(transfer.host, transfer.incarnation, event);
                self.push(HOP_DELAY, event);
            }
        }
        let (ended, transfers): (Vec<_>, Vec<_>) = transfers
            .into_iter()
            .partition(|transfer| transfer.remaining == 0);
        self.transfers = transfers;
        for transfer in ended {
            let event = WorldEvent::ToHost(transfer.host, transfer.incarnation, transfer.page);
            self.push(HOP_DELAY, event);
        }
    }

    /// Abandons a read whose response did not arrive in time: the host closes the connection.
    pub(super) fn end_read(&mut self, expiry: Box<ReadExpiry>) {
        let is_read = |transfer: &Transfer| {
            (transfer.host, transfer.incarnation, transfer.ticket)
                == (expiry.host, expiry.incarnation, expiry.ticket)
        };
        if let Some(transfer) = self.transfers.iter().find(|transfer| is_read(transfer)) {
            let stalled_at = transfer.progressed_at + expiry.timeout.stall;
            let ends_at = stalled_at.min(expiry.sent_at + expiry.timeout.total);
            if self.now < ends_at {
                let delay = ends_at.since(self.now);
                return self.push(delay, WorldEvent::ReadTimedOut(expiry));
            }
        }
        self.transfers.retain(|transfer| !is_read(transfer));
        let event = WorldEvent::ToHost(expiry.host, expiry.incarnation, expiry.no_answer);
        self.push(Duration::ZERO, event);
    }
}
