//! Estimates the effect of one class on another at each load level of the victim, with a linear
//! (Kalman) filter that has one unknown for each pair and level.

use {
    super::{LoadLevel, LOAD_LEVELS},
    crate::classes::{ClassIndex, CLASS_LIMIT},
    std::time::Duration,
};

/// The prior effect of a neighbour that has all processors of a worker, in percent of slowdown.
const PRIOR_EFFECT: f64 = 10.0;
/// The variance of the prior effect, in squared percent.
const PRIOR_VARIANCE: f64 = 60.0 * 60.0;
/// The number of standard deviations that a pessimistic forecast adds.
const PESSIMISM_DEVIATIONS: f64 = 1.0;
/// The smallest share from which a measurement is learned.
const MIN_SHARE: f64 = 0.005;

#[derive(Debug, Clone, Copy)]
struct PairEffect {
    effect: f64,
    variance: f64,
    seen: Option<Duration>,
}

const PRIOR_PAIR: PairEffect =
    PairEffect { effect: PRIOR_EFFECT, variance: PRIOR_VARIANCE, seen: None };

/// A predicted slowdown, in percent.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct SlowdownForecast {
    pub(crate) mean: f64,
    pub(crate) variance: f64,
}

impl SlowdownForecast {
    /// Returns a slowdown, in percent, that is rarely exceeded.
    pub(crate) fn pessimistic(&self) -> f64 {
        self.mean + PESSIMISM_DEVIATIONS * self.variance.sqrt()
    }
}

/// The class that is slowed, and its load level.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PairVictim {
    pub(crate) class: ClassIndex,
    pub(crate) level: LoadLevel,
}

/// One measured slowdown and the neighbours at that time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlowdownReading<'a> {
    pub(crate) victim: PairVictim,
    /// The classes of the neighbours and their shares of the processors.
    pub(crate) neighbours: &'a [(ClassIndex, f64)],
    pub(crate) percent: f64,
    /// The variance of the measurement, in squared percent.
    pub(crate) noise: f64,
}

/// The estimated effects of all pairs of classes.
#[derive(Debug)]
pub(crate) struct PairTable {
    effects: Vec<PairEffect>,
    classes: usize,
    retention: Duration,
}

impl PairTable {
    /// Creates a table of prior effects. An effect that is not measured for `retention` returns to
    /// the prior.
    pub(crate) fn new(retention: Duration) -> Self {
        Self { effects: Vec::new(), classes: 0, retention }
    }

    /// Changes how long effects are remembered.
    pub(crate) fn set_retention(&mut self, retention: Duration) {
        self.retention = retention;
    }

    fn position(&self, victim: PairVictim, aggressor: ClassIndex) -> Option<usize> {
        let (row, column) = (usize::from(victim.class.0), usize::from(aggressor.0));
        let known = row < self.classes && column < self.classes;
        known.then(|| (row * LOAD_LEVELS + usize::from(victim.level.0)) * self.classes + column)
    }

    fn effect(&self, now: Duration, victim: PairVictim, aggressor: ClassIndex) -> PairEffect {
        let Some(position) = self.position(victim, aggressor) else {
            return PRIOR_PAIR;
        };
        let pair = self.effects[position];
        let Some(seen) = pair.seen else {
            return self.effect_at_other_level(now, victim, aggressor);
        };
        let age = now.saturating_sub(seen);
        if age >= self.retention {
            return PRIOR_PAIR;
        }
        let part = age.as_secs_f64() / self.retention.as_secs_f64();
        let variance = (pair.variance + PRIOR_VARIANCE * part).min(PRIOR_VARIANCE);
        PairEffect { variance, ..pair }
    }

    /// Returns the worst effect measured at any level, since an unmeasured level is presumed to be
    /// as bad.
    fn effect_at_other_level(
        &self,
        now: Duration,
        victim: PairVictim,
        aggressor: ClassIndex,
    ) -> PairEffect {
        let seen = (0..LOAD_LEVELS as u8)
            .filter_map(|level| {
                self.position(PairVictim { level: LoadLevel(level), ..victim }, aggressor)
            })
            .map(|position| self.effects[position])
            .filter(|pair| pair.seen.is_some_and(|seen| now.saturating_sub(seen) < self.retention))
            .max_by(|a, b| a.effect.total_cmp(&b.effect));
        match seen {
            Some(pair) => PairEffect { seen: None, variance: PRIOR_VARIANCE / 2.0, ..pair },
            None => PRIOR_PAIR,
        }
    }

    /// Returns true when effects are not remembered at all, so that none can ever be known.
    pub(crate) fn retains_nothing(&self) -> bool {
        self.retention.is_zero()
    }

    /// Returns true when the pair has been measured recently, at any level.
    pub(crate) fn is_known(&self, now: Duration, class: ClassIndex, aggressor: ClassIndex) -> bool {
        (0..LOAD_LEVELS as u8).any(|level| {
            let victim = PairVictim { class, level: LoadLevel(level) };
            self.effect(now, victim, aggressor).seen.is_some()
        })
    }

    /// Returns the slowdown, in percent, that `aggressor` is expected to cause when it has all
    /// processors of the worker.
    pub(crate) fn unit_effect(
        &self,
        now: Duration,
        victim: PairVictim,
        aggressor: ClassIndex,
    ) -> f64 {
        self.effect(now, victim, aggressor).effect
    }

    /// Adds one more neighbour to a forecast.
    pub(crate) fn with_neighbour(
        &self,
        now: Duration,
        victim: PairVictim,
        forecast: SlowdownForecast,
        neighbour: (ClassIndex, f64),
    ) -> SlowdownForecast {
        let (class, share) = neighbour;
        let pair = self.effect(now, victim, class);
        SlowdownForecast {
            mean: forecast.mean + share * pair.effect,
            variance: forecast.variance + share * share * pair.variance,
        }
    }

    /// Predicts the slowdown that the neighbours cause to the victim.
    pub(crate) fn forecast(
        &self,
        now: Duration,
        victim: PairVictim,
        neighbours: impl IntoIterator<Item = (ClassIndex, f64)>,
    ) -> SlowdownForecast {
        let mut forecast = SlowdownForecast::default();
        for (class, share) in neighbours {
            let pair = self.effect(now, victim, class);
            forecast.mean += share * pair.effect;
            forecast.variance += share * share * pair.variance;
        }
        forecast
    }

    /// Corrects the effects of the neighbours by a measured slowdown.
    pub(crate) fn learn(&mut self, now: Duration, reading: SlowdownReading<'_>) {
        let highest = reading.neighbours.iter().map(|(class, _)| *class).max();
        self.grow(highest.max(Some(reading.victim.class)));
        let shares = reading.neighbours.iter().filter(|(_, share)| *share >= MIN_SHARE);
        let pairs: Vec<(usize, f64, PairEffect)> = shares
            .filter_map(|(class, share)| {
                let position = self.position(reading.victim, *class)?;
                Some((position, *share, self.effect(now, reading.victim, *class)))
            })
            .collect();
        let expected: f64 = pairs.iter().map(|(_, share, pair)| share * pair.effect).sum();
        let spread: f64 = pairs.iter().map(|(_, share, pair)| share * share * pair.variance).sum();
        let total = spread + reading.noise;
        for (position, share, pair) in pairs {
            let gain = share * pair.variance / total;
            let effect = (pair.effect + gain * (reading.percent - expected)).max(0.0);
            let variance = (pair.variance * (1.0 - gain * share)).max(1.0);
            self.effects[position] = PairEffect { effect, variance, seen: Some(now) };
        }
    }

    fn grow(&mut self, highest: Option<ClassIndex>) {
        let wanted = highest.map_or(0, |class| usize::from(class.0) + 1).min(CLASS_LIMIT);
        if wanted <= self.classes {
            return;
        }
        let classes = wanted.next_power_of_two();
        let mut effects = vec![PRIOR_PAIR; classes * LOAD_LEVELS * classes];
        for row in 0..self.classes * LOAD_LEVELS {
            let old = &self.effects[row * self.classes..(row + 1) * self.classes];
            effects[row * classes..row * classes + self.classes].copy_from_slice(old);
        }
        (self.effects, self.classes) = (effects, classes);
    }
}
