//! The effect of one class on another, at a load level: a linear filter with one unknown a pair.

use {
    super::{LoadLevel, LOAD_LEVELS},
    crate::classes::{ClassIndex, CLASS_LIMIT},
    std::time::Duration,
};

/// The slowdown that a neighbour with all processors of a worker is presumed to cause, in percent.
const PRIOR_EFFECT: f64 = 10.0;
/// The variance of that presumption, in squared percent.
const PRIOR_VARIANCE: f64 = 60.0 * 60.0;
/// The number of standard deviations that a pessimistic forecast adds.
const PESSIMISM: f64 = 1.0;
/// The smallest share that a measurement says something about.
const LEAST_SHARE: f64 = 0.005;

#[derive(Debug, Clone, Copy)]
struct PairEffect {
    effect: f64,
    variance: f64,
    seen: Option<Duration>,
}

const UNSEEN_EFFECT: PairEffect =
    PairEffect { effect: PRIOR_EFFECT, variance: PRIOR_VARIANCE, seen: None };

/// A predicted slowdown, in percent.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct SlowdownForecast {
    pub(crate) mean: f64,
    pub(crate) variance: f64,
}

impl SlowdownForecast {
    /// The slowdown that is not exceeded in most cases, in percent.
    pub(crate) fn pessimistic(&self) -> f64 {
        self.mean + PESSIMISM * self.variance.sqrt()
    }
}

/// Who suffers, and how loaded it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PairVictim {
    pub(crate) class: ClassIndex,
    pub(crate) level: LoadLevel,
}

/// One measured slowdown with the neighbours that were there.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlowdownReading<'a> {
    pub(crate) victim: PairVictim,
    /// Their classes and shares of the processors.
    pub(crate) neighbours: &'a [(ClassIndex, f64)],
    pub(crate) percent: f64,
    /// In squared percent.
    pub(crate) noise: f64,
}

/// The effects of all pairs of classes.
#[derive(Debug)]
pub(crate) struct PairTable {
    effects: Vec<PairEffect>,
    classes: usize,
    remember: Duration,
}

impl PairTable {
    /// Knows nothing. An effect without measurements for `remember` is presumed again.
    pub(crate) fn new(remember: Duration) -> Self {
        Self { effects: Vec::new(), classes: 0, remember }
    }

    /// Changes how long effects are remembered.
    pub(crate) fn set_remember(&mut self, remember: Duration) {
        self.remember = remember;
    }

    fn position(&self, victim: PairVictim, aggressor: ClassIndex) -> Option<usize> {
        let (row, column) = (usize::from(victim.class.0), usize::from(aggressor.0));
        let known = row < self.classes && column < self.classes;
        known.then(|| (row * LOAD_LEVELS + usize::from(victim.level.0)) * self.classes + column)
    }

    fn effect(&self, now: Duration, victim: PairVictim, aggressor: ClassIndex) -> PairEffect {
        let Some(position) = self.position(victim, aggressor) else {
            return UNSEEN_EFFECT;
        };
        let pair = self.effects[position];
        let Some(seen) = pair.seen else {
            return self.effect_at_other_level(now, victim, aggressor);
        };
        let age = now.saturating_sub(seen);
        if age >= self.remember {
            return UNSEEN_EFFECT;
        }
        let part = age.as_secs_f64() / self.remember.as_secs_f64();
        let variance = (pair.variance + PRIOR_VARIANCE * part).min(PRIOR_VARIANCE);
        PairEffect { variance, ..pair }
    }

    /// An unseen level is presumed to be as bad as the worst level that has been seen.
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
            .filter(|pair| pair.seen.is_some_and(|seen| now.saturating_sub(seen) < self.remember))
            .max_by(|a, b| a.effect.total_cmp(&b.effect));
        match seen {
            Some(pair) => PairEffect { seen: None, variance: PRIOR_VARIANCE / 2.0, ..pair },
            None => UNSEEN_EFFECT,
        }
    }

    /// True when nothing is remembered, so that no effect can ever be known.
    pub(crate) fn forgets_all(&self) -> bool {
        self.remember.is_zero()
    }

    /// True when the pair has been measured lately, at any level.
    pub(crate) fn is_known(&self, now: Duration, class: ClassIndex, aggressor: ClassIndex) -> bool {
        (0..LOAD_LEVELS as u8).any(|level| {
            let victim = PairVictim { class, level: LoadLevel(level) };
            self.effect(now, victim, aggressor).seen.is_some()
        })
    }

    /// The slowdown, in percent, that one full share of `aggressor` is expected to cause.
    pub(crate) fn unit_effect(
        &self,
        now: Duration,
        victim: PairVictim,
        aggressor: ClassIndex,
    ) -> f64 {
        self.effect(now, victim, aggressor).effect
    }

    /// The forecast with one more neighbour.
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

    /// What the neighbours are predicted to do to the victim.
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

    /// Corrects the effects of the neighbours by what was measured.
    pub(crate) fn learn(&mut self, now: Duration, reading: SlowdownReading<'_>) {
        let highest = reading.neighbours.iter().map(|(class, _)| *class).max();
        self.grow(highest.max(Some(reading.victim.class)));
        let shares = reading.neighbours.iter().filter(|(_, share)| *share >= LEAST_SHARE);
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
        let mut effects = vec![UNSEEN_EFFECT; classes * LOAD_LEVELS * classes];
        for row in 0..self.classes * LOAD_LEVELS {
            let old = &self.effects[row * self.classes..(row + 1) * self.classes];
            effects[row * classes..row * classes + self.classes].copy_from_slice(old);
        }
        (self.effects, self.classes) = (effects, classes);
    }
}
