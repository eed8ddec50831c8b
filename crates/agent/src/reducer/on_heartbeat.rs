//! Builds heartbeats and processes the answers to them.

use {
    super::{
        heartbeat::HeartbeatInFlight,
        types::{AgentEffect, HeartbeatSend},
        AgentReducer,
    },
    base::ProcessName,
    proto::messages::{
        AgentHeartbeat, AttemptReport, HeartbeatReply, LeaseRenewal, UsageReport,
        WorkerAnnouncement,
    },
    std::time::Duration,
    telemetry::AgentEvent,
};

/// The time limit for an answer, in heartbeat intervals.
const ANSWER_INTERVALS: u32 = 2;

impl AgentReducer {
    /// Sends a heartbeat when one is due.
    pub(super) fn send_heartbeat_when_due(&mut self, now: Duration) {
        let due = self.schedule.as_ref().is_some_and(|schedule| schedule.is_due(now));
        if !due || self.superseded {
            return;
        }
        let announcement_due =
            self.report_all || self.acknowledged_announcement != self.announcement_version;
        let endpoints_due =
            self.report_all || self.acknowledged_endpoints != self.endpoints_version();
        let (reports_complete, reports) = self.reports();
        let usage = self.usage_report(now);
        let announcement_version = self.announcement_version;
        let endpoints_version = self.endpoints_version();
        let announcement = announcement_due.then(|| self.announcement());
        let endpoints = endpoints_due.then(|| self.endpoints.announcements(self.draining));
        let Some(schedule) = &mut self.schedule else { return };
        let heartbeat = Box::new(AgentHeartbeat {
            worker: self.config.worker.clone(),
            incarnation: self.config.incarnation,
            sequence: schedule.sequence,
            announcement,
            endpoints,
            cursor: self.cursor,
            reports_complete,
            reports,
            usage,
        });
        let in_flight = HeartbeatInFlight {
            sequence: schedule.sequence,
            sent: now,
            peer: schedule.target(),
            cursor: self.cursor,
            announcement_version,
            endpoints_version,
        };
        let send = HeartbeatSend {
            peer: schedule.target(),
            fresh_connection: schedule.failed,
            deadline: self.policy.lease().heartbeat * ANSWER_INTERVALS,
            heartbeat,
        };
        schedule.record_sent(now, in_flight);
        self.effects.push(AgentEffect::SendHeartbeat(send));
    }

    fn announcement(&self) -> WorkerAnnouncement {
        WorkerAnnouncement {
            region: self.config.region.clone(),
            data_centre: self.config.data_centre.clone(),
            rack: self.config.rack.clone(),
            capacity: self.platform.known_capacity().unwrap_or(self.config.capacity),
            address: self.config.address,
            operator_address: self.config.operator_address,
            draining: self.draining,
        }
    }

    /// Returns the reports to send and whether they are complete. They are incomplete before the
    /// platform has been listed, because attempts of an earlier incarnation may run. They are also
    /// incomplete while an attempt is about to start: it has no report yet, and control would take
    /// its absence for its end.
    fn reports(&self) -> (bool, Vec<AttemptReport>) {
        let attempts = self.attempts.attempts.values();
        let all_named = attempts.clone().all(|attempt| attempt.report().is_some());
        let complete = self.report_all && self.platform.is_listed() && all_named;
        let due = attempts.filter(|attempt| complete || !attempt.running_acknowledged);
        (complete, due.filter_map(|attempt| attempt.report()).collect())
    }

    /// Returns the newest measurement, unless an earlier heartbeat carried it.
    fn usage_report(&mut self, now: Duration) -> Option<UsageReport> {
        let (age, tasks) = self.platform.take_usage(now)?;
        Some(UsageReport { age, tasks, services: self.endpoints.take_usage() })
    }

    /// Processes the answer to a heartbeat, or its absence.
    pub(super) fn on_heartbeat_done(
        &mut self,
        now: Duration,
        sequence: u64,
        reply: Option<(ProcessName, HeartbeatReply)>,
    ) {
        let interval = self.policy.lease().heartbeat;
        let Some(schedule) = &mut self.schedule else { return };
        let Some(in_flight) = schedule.in_flight.take_if(|sent| sent.sequence == sequence) else {
            return;
        };
        match reply {
            None => schedule.record_no_answer(now, interval),
            Some((_, HeartbeatReply::NotLeader { leader })) => {
                schedule.record_not_leader(now, interval, leader.map(|(_, address)| address));
            }
            Some((_, HeartbeatReply::Superseded { .. })) => self.on_superseded(),
            Some((source, HeartbeatReply::Renewed(renewal))) => {
                self.on_renewed(now, &in_flight, source, *renewal);
            }
        }
    }

    /// Gives up the worker to a newer incarnation of this agent, which manages the tasks from now
    /// on.
    fn on_superseded(&mut self) {
        self.superseded = true;
        self.lease.give_up();
        self.attempts.attempts.clear();
        self.record(AgentEvent::Superseded { worker: self.config.worker.clone() });
    }

    fn on_renewed(
        &mut self,
        now: Duration,
        sent: &HeartbeatInFlight,
        source: ProcessName,
        mut renewal: LeaseRenewal,
    ) {
        let interval = self.policy.lease().heartbeat;
        let had_lease = self.lease.deadline().is_some();
        if renewal.cursor.term < self.cursor.term
            || !self.lease.renew(renewal.cursor.term, sent.sent, renewal.lease)
        {
            if let Some(schedule) = &mut self.schedule {
                schedule.record_no_answer(now, interval);
            }
            return;
        }
        if let Some(schedule) = &mut self.schedule {
            if schedule.record_answer(interval) {
                self.effects
                    .push(AgentEffect::Record(AgentEvent::LeaderChanged { peer: sent.peer }));
            }
        }
        if !had_lease {
            let worker = self.config.worker.clone();
            self.record(AgentEvent::LeaseGranted { worker, leader: sent.peer });
        }
        self.acknowledged_announcement = sent.announcement_version;
        self.acknowledged_endpoints = sent.endpoints_version;
        self.mark_running_acknowledged(sent.sent);
        self.report_all = renewal.report_all || (self.report_all && !self.platform.is_listed());
        self.forget_acknowledged(&renewal);
        self.renew_platform();
        if let Some(bundle) = renewal.declarations.take() {
            self.offer_declarations(bundle, source);
        }
        let follows = renewal.commands_complete || sent.cursor == self.cursor;
        if follows && renewal.cursor >= self.cursor {
            self.apply_commands(now, renewal);
        }
    }

    fn mark_running_acknowledged(&mut self, sent: Duration) {
        for attempt in self.attempts.attempts.values_mut() {
            attempt.running_acknowledged = attempt.since <= sent && attempt.may_run();
        }
    }

    fn forget_acknowledged(&mut self, renewal: &LeaseRenewal) {
        for (task, attempt) in &renewal.acknowledged {
            let id = crate::platform::AttemptId { task: task.clone(), attempt: *attempt };
            let ended = self.attempts.attempts.get(&id).is_some_and(|known| known.has_ended());
            if ended {
                self.attempts.forget(&id);
                self.forget_on_platform(id);
            }
        }
    }
}
