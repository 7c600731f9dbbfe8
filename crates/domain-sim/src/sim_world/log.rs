//! Calls of hosts to the log and to the approval service, answers that are late or lost,
//! and the entries of workers in the log.

use flamingowalk_domain::prelude::*;
use flamingowalk_domain::process::action::AdviceOrder;
use flamingowalk_domain::process::event::{AdviceError, HostEvent};
use flamingowalk_domain::process::stream::{StreamError, StreamName};
use rand::Rng;

use crate::sim_world::{
    ENTRY_TTL, HOP_DELAY, LOG_LATENCY, LogCall, NO_REPLY_TICKET, REPORT_INTERVAL, SimWorld,
    WorldEvent,
};

impl SimWorld {
    pub(super) fn serve_advice(&mut self, index: usize, incarnation: u64, order: &AdviceOrder) {
        let no_answer = HostEvent::Advised(order.ticket, Err(AdviceError::NoAnswer));
        self.push(
            order.timeout,
            WorldEvent::ToHost(index, incarnation, no_answer),
        );
        if !self.advice.is_up {
            return;
        }
        let workers = &self.workers;
        let incarnation_of = |name: &WorkerName| {
            let worker = workers.get(name);
            worker.map_or(WorkerIncarnation(0), |worker| worker.report.incarnation)
        };
        let (answered_at, approvals) = self.advice.handle_request(self.now, order, incarnation_of);
        let event = HostEvent::Advised(order.ticket, Ok(approvals));
        let delay = answered_at.since(self.now) + HOP_DELAY;
        self.push(delay, WorldEvent::ToHost(index, incarnation, event));
    }

    /// Sends a call to the log. The call expires in any case: hosts ignore the second answer
    /// to a ticket.
    pub(super) fn call_log(
        &mut self,
        index: usize,
        incarnation: u64,
        call: LogCall,
        expiry: WorldEvent,
        timeout: Duration,
    ) {
        self.push(timeout, expiry);
        let delay = HOP_DELAY + LOG_LATENCY * self.log_slowdown;
        self.push(delay, WorldEvent::ToLog(index, incarnation, call));
    }

    pub(super) fn serve_log(&mut self, index: usize, incarnation: u64, call: LogCall) {
        if !self.is_log_up || !self.hosts[index].reaches_log {
            return;
        }
        let read_stream = match &call {
            LogCall::Append(..) => None,
            LogCall::Read(order) => Some(order.stream),
            LogCall::ReadNewest(order) => Some(order.stream),
        };
        if read_stream.is_some() && read_stream == self.unanswered_stream {
            return;
        }
        let event = match call {
            LogCall::Append(ticket, _) if self.refuses_appends => {
                HostEvent::Appended(ticket, Err(StreamError::Refused { status: 429 }))
            }
            LogCall::Append(ticket, order) => {
                let is_late = ticket != NO_REPLY_TICKET && self.late_append_rate > 0.0;
                if is_late && self.random.random_bool(self.late_append_rate) {
                    let delay = Duration::from_millis(self.random.random_range(1_000..4_000));
                    let call = LogCall::Append(NO_REPLY_TICKET, order);
                    self.push(delay, WorldEvent::ToLog(index, incarnation, call));
                    return;
                }
                let result = self.log.append(&order);
                if result.is_ok() {
                    self.wake_reads();
                }
                if self.answer_loss_rate > 0.0 && self.random.random_bool(self.answer_loss_rate) {
                    return;
                }
                HostEvent::Appended(ticket, result)
            }
            LogCall::Read(order) => match self.log.read(order.stream, order.from) {
                Ok(page) if page.records.is_empty() && !order.wait.is_zero() => {
                    let until = self.now + order.wait;
                    self.waiting_reads.push((index, incarnation, order, until));
                    return;
                }
                result => HostEvent::Read(order.ticket, result),
            },
            LogCall::ReadNewest(order) => {
                self.claim_reads += u32::from(order.stream == StreamName::Seat);
                let page = self.log.newest(order.stream, order.after.as_deref());
                let event = HostEvent::ReadNewest(order.ticket, Ok(page));
                if order.stream == StreamName::Jobs && !self.job_page_time.is_zero() {
                    let begins_at = self.pages_served_at.max(self.now);
                    self.pages_served_at = begins_at + self.job_page_time;
                    let delay = self.pages_served_at.since(self.now);
                    self.push(delay, WorldEvent::ToHost(index, incarnation, event));
                    return;
                }
                event
            }
        };
        self.answer_from_log(index, incarnation, event);
    }

    fn answer_from_log(&mut self, index: usize, incarnation: u64, event: HostEvent) {
        if !self.hosts[index].receives_log_answers {
            return;
        }
        if self.link_rate.is_some() {
            self.start_transfer(index, incarnation, event);
        } else {
            self.push(HOP_DELAY, WorldEvent::ToHost(index, incarnation, event));
        }
    }

    /// Answers the waiting reads that have a record or whose wait is over.
    pub(super) fn wake_reads(&mut self) {
        let now = self.now;
        let waiting = std::mem::take(&mut self.waiting_reads);
        for (index, incarnation, order, until) in waiting {
            let result = self.log.read(order.stream, order.from);
            let is_ready = result
                .as_ref()
                .map_or(true, |page| !page.records.is_empty());
            let is_answered = self.unanswered_stream != Some(order.stream);
            if !self.is_log_up || !self.hosts[index].reaches_log || !is_answered {
                continue;
            }
            if (is_ready && now >= self.reads_held_until) || now >= until {
                let event = HostEvent::Read(order.ticket, result);
                self.answer_from_log(index, incarnation, event);
            } else {
                self.waiting_reads.push((index, incarnation, order, until));
            }
        }
    }

    pub(super) fn report(&mut self, name: &WorkerName) {
        self.push(REPORT_INTERVAL, WorldEvent::Report(name.clone()));
        self.write_report(name);
    }

    pub(super) fn write_report(&mut self, name: &WorkerName) {
        let now = self.now;
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        if worker.is_up && worker.reaches_log && self.is_log_up {
            let mut report = worker.report.clone();
            report.clock = worker.clock(now);
            self.log.put_worker(name, Some(Arc::new(report)));
            self.last_reports.insert(name.clone(), now);
        }
    }

    pub(super) fn expire_entries(&mut self) {
        let now = self.now;
        if !self.is_log_up {
            return;
        }
        let expired: Vec<_> = self
            .last_reports
            .iter()
            .filter(|(_, at)| now.since(**at) >= ENTRY_TTL)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.last_reports.remove(&name);
            self.log.put_worker(&name, None);
        }
    }
}
