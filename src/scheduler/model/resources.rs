//! Amounts of processors, GPUs and memory.

/// Amounts in thousandths (memory in MB), so that sums are exact.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Resources {
    pub cpus: i64,
    pub gpus: i64,
    pub memory: i64,
}

impl Resources {
    /// What a task needs, rounded up: room must never be found where the worker sees none.
    pub fn needed(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let up = |v: f64| (v * 1000.0 - 1e-6).ceil() as i64;
        Resources { cpus: up(cpus), gpus: up(gpus), memory: up(memory_gb) }
    }

    /// What a machine has, rounded down.
    pub fn offered(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let down = |v: f64| (v * 1000.0 + 1e-6).floor() as i64;
        Resources { cpus: down(cpus), gpus: down(gpus), memory: down(memory_gb) }
    }

    pub fn fits(&self, room: &Resources) -> bool {
        self.cpus <= room.cpus && self.gpus <= room.gpus && self.memory <= room.memory
    }

    pub fn plus(&self, o: &Resources) -> Self {
        Resources { cpus: self.cpus + o.cpus, gpus: self.gpus + o.gpus, memory: self.memory + o.memory }
    }

    pub fn minus(&self, o: &Resources) -> Self {
        Resources { cpus: self.cpus - o.cpus, gpus: self.gpus - o.gpus, memory: self.memory - o.memory }
    }

    /// The smaller of each amount.
    pub fn least(&self, o: &Resources) -> Self {
        Resources {
            cpus: self.cpus.min(o.cpus),
            gpus: self.gpus.min(o.gpus),
            memory: self.memory.min(o.memory),
        }
    }

    pub fn times(&self, n: i64) -> Self {
        Resources { cpus: self.cpus * n, gpus: self.gpus * n, memory: self.memory * n }
    }

    /// How many tasks of this size fit into `room`.
    pub fn count_in(&self, room: &Resources) -> i64 {
        let one = |need: i64, has: i64| if need <= 0 { i64::from(u32::MAX) } else { (has / need).max(0) };
        one(self.cpus, room.cpus).min(one(self.gpus, room.gpus)).min(one(self.memory, room.memory))
    }
}
