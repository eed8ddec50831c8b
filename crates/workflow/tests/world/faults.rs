//! Injects faults into the processes and the network, and restarts processes.

use {
    super::{
        agent_settings, start_control, AgentNode, Arrival, Breakage, FleetWorld, CONTROLS,
        TRACE_VARIABLE,
    },
    quorum::RecoveredLog,
    std::time::Duration,
    workflow::{
        agent::AgentEvent,
        control::{ControlEvent, SessionId},
    },
};

/// Upper bound of the pauses of an agent's process, in milliseconds.
const PAUSE_MS: usize = 2500;
/// The same bound while executors shrink.
const SHRINKING_PAUSE_MS: usize = 100;
/// The chance that the capacity of an executor changes in a step.
const CAPACITY_CHANCE: f64 = 0.003;
/// The capacities between which a shrinking executor changes: 1 to this number of runs.
const SHRUNK_CAPACITIES: usize = 4;

impl FleetWorld {
    /// Changes the capacity of some executors.
    pub(super) fn change_capacities(&mut self) {
        for agent in 0..self.agents.len() {
            if self.capacities.chance(CAPACITY_CHANCE) {
                let capacity = 1 + self.capacities.below(SHRUNK_CAPACITIES);
                self.agents[agent].executor.change_capacity(self.now, capacity);
            }
        }
    }

    pub(super) fn inject_fault(&mut self) {
        let control = self.random.below(CONTROLS);
        let agent = self.random.below(self.agents.len());
        let kind = self.random.below(8);
        if std::env::var_os(TRACE_VARIABLE).is_some() {
            eprintln!("{:?} fault {kind} control {control} agent {agent}", self.now);
        }
        match kind {
            0 if self.controls.iter().filter(|host| host.node.is_none()).count() < 2 => {
                self.controls[control].node = None;
                self.close_streams_of(control);
            }
            0 | 1 => {
                if let Some(down) = (0..CONTROLS).find(|at| self.controls[*at].node.is_none()) {
                    self.restart_control(down);
                }
            }
            2 => {
                let (a, b) =
                    (self.random.below(CONTROLS), self.random.below(CONTROLS + self.agents.len()));
                self.partitions.insert((a, b));
                self.partitions.insert((b, a));
            }
            3 => self.partitions.clear(),
            4 => {
                let pause = Duration::from_millis(self.random.below(2500) as u64);
                let host = &mut self.controls[control];
                // A second pause does not end the first one early: later events would overtake the
                // waiting ones.
                host.paused_until = host.paused_until.max(self.now + pause);
            }
            5 => {
                let longest_ms = if self.shrinking { SHRINKING_PAUSE_MS } else { PAUSE_MS };
                let pause = Duration::from_millis(self.random.below(longest_ms) as u64);
                let host = &mut self.agents[agent];
                host.paused_until = host.paused_until.max(self.now + pause);
            }
            6 => {
                let now = self.now;
                let host = &mut self.agents[agent];
                host.node = AgentNode::new(agent_settings(agent, self.breakage), now);
                host.leader = None;
            }
            _ if !self.has_crashes() => {}
            _ => {
                let born = self.now.as_millis() as u64;
                let other = format!("e{agent}-{born}");
                let name = born.is_multiple_of(2).then_some(other.as_str());
                self.agents[agent].executor.restart(born, name);
                self.agents[agent].sequence = 0;
            }
        }
    }

    pub(super) fn restart_control(&mut self, control: usize) {
        let seed = self.random.next_u64();
        let host = &mut self.controls[control];
        host.incarnation += 1;
        if self.breakage == Some(Breakage::ForgetfulDisk) {
            host.disk = RecoveredLog::default();
        }
        host.node = Some(start_control(control, &host.disk, self.now, seed));
        self.close_streams_of(control);
    }

    pub(super) fn close_streams_of(&mut self, control: usize) {
        for agent in 0..self.agents.len() {
            if self.agents[agent].leader == Some(control) {
                self.lose_leader(agent);
            }
        }
    }

    pub(super) fn lose_leader(&mut self, agent: usize) {
        let Some(control) = self.agents[agent].leader.take() else { return };
        let session = SessionId(self.agents[agent].stream);
        self.open_streams.remove(&session.0);
        self.schedule_event(Arrival::Control(control, ControlEvent::Closed { session }));
        self.step_agent(agent, AgentEvent::LeaderLost);
    }
}
