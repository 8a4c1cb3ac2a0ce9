//! Amounts of processors, GPUs and memory.

/// Amounts in thousandths (memory in MB), so that sums are exact.
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
    /// What a task requests, rounded up: the leader must never see room where the worker has none.
    pub fn needed(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let up = |amount: f64| (amount * 1000.0 - 1e-6).ceil() as i64;
        Resources { cpus: up(cpus), gpus: up(gpus), memory: up(memory_gb) }
    }

    /// The capacity of a machine, rounded down.
    pub fn offered(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let down = |amount: f64| (amount * 1000.0 + 1e-6).floor() as i64;
        Resources { cpus: down(cpus), gpus: down(gpus), memory: down(memory_gb) }
    }

    /// Whether each amount is at most that of `room`.
    pub fn fits(&self, room: &Resources) -> bool {
        self.cpus <= room.cpus && self.gpus <= room.gpus && self.memory <= room.memory
    }

    /// The sum of each amount.
    pub fn plus(&self, other: &Resources) -> Self {
        Resources {
            cpus: self.cpus + other.cpus,
            gpus: self.gpus + other.gpus,
            memory: self.memory + other.memory,
        }
    }

    /// The difference of each amount; it may be negative.
    pub fn minus(&self, other: &Resources) -> Self {
        Resources {
            cpus: self.cpus - other.cpus,
            gpus: self.gpus - other.gpus,
            memory: self.memory - other.memory,
        }
    }

    /// The smaller of each amount.
    pub fn least(&self, other: &Resources) -> Self {
        Resources {
            cpus: self.cpus.min(other.cpus),
            gpus: self.gpus.min(other.gpus),
            memory: self.memory.min(other.memory),
        }
    }

    /// Each amount `count` times.
    pub fn times(&self, count: i64) -> Self {
        Resources { cpus: self.cpus * count, gpus: self.gpus * count, memory: self.memory * count }
    }

    /// How many tasks of this size fit into `room`. An amount of 0 does not limit the number.
    pub fn count_in(&self, room: &Resources) -> i64 {
        let one = |requested: i64, available: i64| {
            if requested <= 0 {
                i64::from(u32::MAX)
            } else {
                (available / requested).max(0)
            }
        };
        one(self.cpus, room.cpus).min(one(self.gpus, room.gpus)).min(one(self.memory, room.memory))
    }
}
