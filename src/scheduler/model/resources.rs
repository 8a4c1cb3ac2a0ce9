//! Amounts of processors, GPUs and memory.

/// Amounts as integers, in thousandths (memory in MB), so that sums are exact.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub milli_cpus: i64,
    /// Thousandths of a GPU.
    pub milli_gpus: i64,
    /// Memory in MB.
    pub memory_mb: i64,
}

impl Resources {
    /// The request of a task, rounded up, so that the leader never assumes room that the worker does not
    /// have.
    pub fn rounded_up(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let round_up = |amount: f64| (amount * 1000.0 - 1e-6).ceil() as i64;
        Resources { milli_cpus: round_up(cpus), milli_gpus: round_up(gpus), memory_mb: round_up(memory_gb) }
    }

    /// The capacity of a machine, rounded down for the same reason.
    pub fn rounded_down(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let round_down = |amount: f64| (amount * 1000.0 + 1e-6).floor() as i64;
        Resources {
            milli_cpus: round_down(cpus),
            milli_gpus: round_down(gpus),
            memory_mb: round_down(memory_gb),
        }
    }

    /// Whether each amount is at most that of `room`.
    pub fn fits_into(&self, room: &Resources) -> bool {
        self.milli_cpus <= room.milli_cpus
            && self.milli_gpus <= room.milli_gpus
            && self.memory_mb <= room.memory_mb
    }

    /// Sum, amount by amount.
    pub fn plus(&self, other: &Resources) -> Self {
        Resources {
            milli_cpus: self.milli_cpus + other.milli_cpus,
            milli_gpus: self.milli_gpus + other.milli_gpus,
            memory_mb: self.memory_mb + other.memory_mb,
        }
    }

    /// Difference, amount by amount; amounts may become negative.
    pub fn minus(&self, other: &Resources) -> Self {
        Resources {
            milli_cpus: self.milli_cpus - other.milli_cpus,
            milli_gpus: self.milli_gpus - other.milli_gpus,
            memory_mb: self.memory_mb - other.memory_mb,
        }
    }

    /// Minimum, amount by amount.
    pub fn component_minimum(&self, other: &Resources) -> Self {
        Resources {
            milli_cpus: self.milli_cpus.min(other.milli_cpus),
            milli_gpus: self.milli_gpus.min(other.milli_gpus),
            memory_mb: self.memory_mb.min(other.memory_mb),
        }
    }

    /// Each amount multiplied by `count`.
    pub fn times(&self, count: i64) -> Self {
        Resources {
            milli_cpus: self.milli_cpus * count,
            milli_gpus: self.milli_gpus * count,
            memory_mb: self.memory_mb * count,
        }
    }

    /// How many tasks that each request these resources fit into `room`. An amount of 0 does not limit the
    /// number.
    pub fn count_in(&self, room: &Resources) -> i64 {
        let count = |requested: i64, available: i64| {
            if requested <= 0 {
                i64::from(u32::MAX)
            } else {
                (available / requested).max(0)
            }
        };
        count(self.milli_cpus, room.milli_cpus)
            .min(count(self.milli_gpus, room.milli_gpus))
            .min(count(self.memory_mb, room.memory_mb))
    }
}
