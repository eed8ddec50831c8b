//! An operator who cordons data centres and lifts the cordons, and the check that nothing starts
//! there meanwhile.

use {
    super::{FleetWorld, AGENTS, CONTROLS},
    base::{ReplyTicket, SeededRandom},
    std::{collections::BTreeMap, time::Duration},
    workflow::control::{ControlEvent, OperatorAnswer},
};

/// The time after the acknowledgement of a cordon from which nothing starts, as operators state it.
const CORDON_BOUND: Duration = Duration::from_millis(5000);
/// The chances in a step that a cordon is set, and that one is lifted: it mostly lasts longer than
/// the time after which it is checked.
const CORDON_CHANCE: f64 = 0.004;
const LIFT_CHANCE: f64 = 0.001;
/// The chance in a step that an executor begins to lose starts, and for how long: its agent repeats a
/// start from before a cordon until after the time from which nothing starts.
const LOSING_CHANCE: f64 = 0.004;
const LOSING_TIME: Duration = Duration::from_millis(12_000);
/// The chance in a step that a request is sent, until one is answered.
const REQUEST_CHANCE: f64 = 0.2;
/// Steps after the faults within which every request has to be acknowledged.
const SETTLE_STEPS: usize = 1000;
const DATA_CENTRES: [&str; 2] = ["north", "south"];

/// Returns the data centre of an agent and its executor.
pub(super) fn data_centre_of(agent: usize) -> &'static str {
    DATA_CENTRES[agent.min(1)]
}

/// What the operator wants of one data centre.
#[derive(Default)]
struct Intention {
    cordoned: bool,
    acknowledged: bool,
    /// The last ticket of the earlier intentions, whose answers no longer count.
    last_earlier: ReplyTicket,
    /// The time at which a cordon was acknowledged, until its lifting is first requested.
    cordoned_since: Option<Duration>,
}

pub(super) struct CordonOperator {
    /// A source of its own, so that the other choices stay as they are.
    random: SeededRandom,
    intentions: BTreeMap<&'static str, Intention>,
    requests: BTreeMap<ReplyTicket, &'static str>,
    last_ticket: ReplyTicket,
    /// The time until which each executor loses starts.
    losing_until: [Duration; AGENTS],
}

impl CordonOperator {
    pub(super) fn new(seed: u64) -> Self {
        let intention = |data_centre| (data_centre, Intention::default());
        Self {
            random: SeededRandom::new(seed),
            intentions: DATA_CENTRES.into_iter().map(intention).collect(),
            requests: BTreeMap::new(),
            last_ticket: ReplyTicket(1000),
            losing_until: [Duration::ZERO; AGENTS],
        }
    }

    fn intend(&mut self, data_centre: &'static str, cordoned: bool) {
        let last_earlier = self.last_ticket;
        let wanted = Intention { cordoned, last_earlier, ..Intention::default() };
        self.intentions.insert(data_centre, wanted);
    }

    /// Returns whether every request has been acknowledged.
    fn is_settled(&self) -> bool {
        self.intentions.values().all(|wanted| wanted.acknowledged || wanted.last_earlier.0 == 0)
    }

    pub(super) fn note_answer(
        &mut self,
        now: Duration,
        ticket: ReplyTicket,
        answer: &OperatorAnswer,
    ) {
        let Some(data_centre) = self.requests.remove(&ticket) else { return };
        let Some(wanted) = self.intentions.get_mut(data_centre) else { return };
        if *answer == OperatorAnswer::Accepted && ticket > wanted.last_earlier {
            wanted.acknowledged = true;
            if wanted.cordoned {
                wanted.cordoned_since.get_or_insert(now);
            }
        }
    }
}

impl FleetWorld {
    /// Changes what the operator wants at random while there are faults, and repeats requests until
    /// they are acknowledged.
    pub(super) fn operate(&mut self) {
        let Some(operator) = &mut self.operator else { return };
        for until in &mut operator.losing_until {
            if *until < self.now && operator.random.chance(LOSING_CHANCE) {
                *until = self.now + LOSING_TIME;
            }
        }
        let mut requests = Vec::new();
        for data_centre in DATA_CENTRES {
            let wanted = &operator.intentions[data_centre];
            let (cordoned, pending) = (wanted.cordoned, !wanted.acknowledged);
            let chance = if cordoned { LIFT_CHANCE } else { CORDON_CHANCE };
            if pending && wanted.last_earlier.0 > 0 {
                if operator.random.chance(REQUEST_CHANCE) {
                    operator.last_ticket = operator.last_ticket.next();
                    let ticket = operator.last_ticket;
                    operator.requests.insert(ticket, data_centre);
                    requests.push((operator.random.below(CONTROLS), ticket, data_centre, cordoned));
                }
            } else if self.faults && operator.random.chance(chance) {
                operator.intend(data_centre, !cordoned);
            }
        }
        for (control, ticket, data_centre, cordoned) in requests {
            let data_centre = data_centre.parse().unwrap();
            let event = if cordoned {
                ControlEvent::Cordon { ticket, data_centre }
            } else {
                ControlEvent::LiftCordon { ticket, data_centre }
            };
            // A request that a paused process received late could undo a later one.
            if self.controls[control].paused_until <= self.now {
                self.step_control(control, event);
            }
        }
    }

    /// Lifts the cordon of the larger data centre, leaves the other one as it is, and waits for the
    /// acknowledgements.
    pub fn settle_cordons(&mut self) {
        let Some(operator) = &mut self.operator else { return };
        operator.intend(DATA_CENTRES[1], false);
        for _ in 0..SETTLE_STEPS {
            self.step();
            if self.operator.as_ref().is_some_and(CordonOperator::is_settled) {
                return;
            }
        }
        panic!("seed {}: a request about a data centre was not acknowledged", self.seed);
    }

    /// Returns whether an executor loses starts.
    pub(super) fn loses_starts(&self, agent: usize) -> bool {
        let operator = self.operator.as_ref().filter(|_| self.faults);
        operator.is_some_and(|operator| self.now < operator.losing_until[agent])
    }

    /// Checks a start that an agent sent to its executor and that began there. When the executor
    /// carries it out does not count.
    pub(super) fn check_cordon(&self, agent: usize, sent: Duration) {
        let Some(operator) = &self.operator else { return };
        let data_centre = data_centre_of(agent);
        let Some(since) = operator.intentions[data_centre].cordoned_since else { return };
        let late = sent.saturating_sub(since);
        assert!(
            late <= CORDON_BOUND,
            "seed {} at {:?}: a run starts in {data_centre} {late:?} after its cordon",
            self.seed,
            self.now
        );
    }
}
