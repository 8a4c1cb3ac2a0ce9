//! Numbers by which the answer to a frame finds what it answers.

/// Numbers of this process's requests to its peers. Each process begins at a point of its own: while all began at one,
/// a peer's answer to the process before could be taken for the answer to a request of this one.
#[derive(Debug, Default, Clone, Copy)]
pub struct RequestIds {
    last: u64,
}

impl RequestIds {
    /// The numbers of a process, by its incarnation. The upper half of what a number holds is left for counting.
    pub fn of(incarnation: u64) -> Self {
        RequestIds { last: incarnation >> 1 }
    }

    /// The number of a new request.
    pub fn take(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// The number that the next request will have.
    pub fn upcoming(&self) -> u64 {
        self.last + 1
    }
}
