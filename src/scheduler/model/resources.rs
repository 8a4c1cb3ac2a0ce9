//! Amounts of processors, GPUs and memory.

/// Amounts as integers, in thousandths (memory in MB), so that sums are exact.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub cpus: i64,
    /// Thousandths of a GPU.
    pub gpus: i64,
    /// Memory in MB.
    pub memory: i64,
}

impl Resources {
    /// The request of a task, rounded up, so that the leader never assumes room that the worker does not
    /// have.
    pub fn needed(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let round_up = |amount: f64| (amount * 1000.0 - 1e-6).ceil() as i64;
        Resources { cpus: round_up(cpus), gpus: round_up(gpus), memory: round_up(memory_gb) }
    }

    /// The capacity of a machine, rounded down for the same reason.
    pub fn offered(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let round_down = |amount: f64| (amount * 1000.0 + 1e-6).floor() as i64;
        Resources { cpus: round_down(cpus), gpus: round_down(gpus), memory: round_down(memory_gb) }
    }

    /// Whether each amount is at most that of `room`.
    pub fn fits(&self, room: &Resources) -> bool {
        self.cpus <= room.cpus && self.gpus <= room.gpus && self.memory <= room.memory
    }

    /// Sum, amount by amount.
    pub fn plus(&self, other: &Resources) -> Self {
        Resources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory: self.memory + other.memory,
        }
    }

    /// Difference, amount by amount; amounts may become negative.
    pub fn minus(&self, other: &Resources) -> Self {
        Resources {
            cpus: self.cpus - other.cpus,
            gpus: self.gpus - other.gpus,
            memory: self.memory - other.memory,
        }
    }

    /// Minimum, amount by amount.
    pub fn least(&self, other: &Resources) -> Self {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory: self.memory.min(other.memory),
        }
    }

    /// Each amount multiplied by `count`.
    pub fn times(&self, count: i64) -> Self {
        Resources { cpus: self.cpus * count, gpus: self.gpus * count, memory: self.memory * count }
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
        count(self.cpus, room.cpus).min(count(self.gpus, room.gpus)).min(count(self.memory, room.memory))
    }
}
