//! The resources of a worker and of a task as one vector, so that no check can omit a resource.

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
    /// The zero amount of every resource.
    pub const ZERO: Self =
        Self { cpu: CpuMillis::ZERO, memory: ByteSize::ZERO, accelerators: AcceleratorCount::ZERO };

    /// Returns the first resource of which `self` needs more than is `available`, or `None` if
    /// `self` fits.
    pub fn shortage(&self, available: &Self) -> Option<ResourceKind> {
        if self.cpu > available.cpu {
            return Some(ResourceKind::Cpu);
        }
        if self.memory > available.memory {
            return Some(ResourceKind::Memory);
        }
        if self.accelerators > available.accelerators {
            return Some(ResourceKind::Accelerators);
        }
        None
    }

    /// Returns true if `self` needs no more of any resource than is `available`.
    pub fn fits_in(&self, available: &Self) -> bool {
        self.shortage(available).is_none()
    }

    /// Returns the difference per resource, or zero where `other` is larger.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the larger amount of each resource.
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
