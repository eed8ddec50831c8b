//! What a worker offers and what a task takes, as one vector, so that no resource is forgotten in
//! a check.

use {
    super::{AcceleratorCount, ByteSize, CpuMillis},
    serde::{Deserialize, Serialize},
    std::{fmt, iter::Sum, ops},
};

/// One dimension of a [`ResourceVector`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResourceKind {
    /// Processor time.
    Cpu,
    /// Memory.
    Memory,
    /// Accelerators.
    Accelerators,
}

impl fmt::Display for ResourceKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Cpu => "cpu",
            Self::Memory => "memory",
            Self::Accelerators => "accelerators",
        })
    }
}

/// An amount of every resource.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ResourceVector {
    /// Processor time.
    pub cpu: CpuMillis,
    /// Memory.
    pub memory: ByteSize,
    /// Accelerators.
    #[serde(default)]
    pub accelerators: AcceleratorCount,
}

impl ResourceVector {
    /// Nothing of any resource.
    pub const ZERO: Self =
        Self { cpu: CpuMillis::ZERO, memory: ByteSize::ZERO, accelerators: AcceleratorCount::ZERO };

    /// The first resource of which `self` needs more than `room` has, or `None` when it fits.
    pub fn shortage(&self, room: &Self) -> Option<ResourceKind> {
        if self.cpu > room.cpu {
            return Some(ResourceKind::Cpu);
        }
        if self.memory > room.memory {
            return Some(ResourceKind::Memory);
        }
        if self.accelerators > room.accelerators {
            return Some(ResourceKind::Accelerators);
        }
        None
    }

    /// True when `self` needs no more of any resource than `room` has.
    pub fn fits_in(&self, room: &Self) -> bool {
        self.shortage(room).is_none()
    }

    /// The difference, with zero where `other` is larger.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The larger amount of each resource.
    #[must_use]
    pub fn max_each(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }
}

impl ops::Add for ResourceVector {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            cpu: self.cpu + other.cpu,
            memory: self.memory + other.memory,
            accelerators: self.accelerators + other.accelerators,
        }
    }
}

impl ops::AddAssign for ResourceVector {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sum for ResourceVector {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::ZERO, ops::Add::add)
    }
}

impl fmt::Display for ResourceVector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cpu {}, memory {}, accelerators {}", self.cpu, self.memory, self.accelerators)
    }
}
