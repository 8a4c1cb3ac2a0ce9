//! The state of each machine of a drain. A state is stored before any action that follows from it, so that a new leader
//! goes on where the last one stopped; repeating a step does no harm.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The state of a machine within its drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineDrainState {
    /// Nothing has happened to it.
    Waiting,
    /// A machine like it is being rented. The attempt is part of the rental's name, so that the same rental is
    /// never made twice, by whichever leader.
    Replacing {
        /// Counts from 1; the next one begins when a replacement did not come up.
        attempt: u32,
        /// The replacement, once the cloud has named it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        machine: Option<String>,
    },
    /// It takes nothing new and is being emptied.
    Cordoned {
        /// The machine that came for it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        replacement: Option<String>,
    },
    /// It is not there any more: given back once it was empty, or lost while it was being emptied.
    Returned {
        /// The machine that came for it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        replacement: Option<String>,
    },
    /// It was gone before it was empty.
    Gone,
}

impl MachineDrainState {
    /// Whether nothing more happens to the machine.
    pub fn is_final(&self) -> bool {
        matches!(self, MachineDrainState::Returned { .. } | MachineDrainState::Gone)
    }

    /// Whether the machine is between its first and its last state.
    pub fn under_way(&self) -> bool {
        matches!(self, MachineDrainState::Replacing { .. } | MachineDrainState::Cordoned { .. })
    }

    /// Whether a machine may go from this state to another.
    pub fn may_become(&self, next: &MachineDrainState) -> bool {
        match self {
            MachineDrainState::Waiting => match next {
                MachineDrainState::Replacing { attempt, machine } => *attempt == 1 && machine.is_none(),
                MachineDrainState::Cordoned { replacement } => replacement.is_none(),
                MachineDrainState::Gone => true,
                MachineDrainState::Waiting | MachineDrainState::Returned { .. } => false,
            },
            MachineDrainState::Replacing { attempt, machine: named } => match next {
                MachineDrainState::Replacing { attempt: later, machine } => {
                    later == attempt || *later == attempt + 1 && machine.is_none()
                }
                MachineDrainState::Cordoned { replacement } => named.is_some() && named == replacement,
                MachineDrainState::Gone => true,
                MachineDrainState::Waiting | MachineDrainState::Returned { .. } => false,
            },
            MachineDrainState::Cordoned { replacement } => match next {
                MachineDrainState::Returned { replacement: same } => replacement == same,
                MachineDrainState::Gone => true,
                MachineDrainState::Waiting
                | MachineDrainState::Replacing { .. }
                | MachineDrainState::Cordoned { .. } => false,
            },
            MachineDrainState::Returned { .. } | MachineDrainState::Gone => false,
        }
    }

    /// The machine that is to take the place of this one, if the cloud has named it.
    pub fn replacement(&self) -> Option<&str> {
        match self {
            MachineDrainState::Replacing { machine: replacement, .. }
            | MachineDrainState::Cordoned { replacement }
            | MachineDrainState::Returned { replacement } => replacement.as_deref(),
            MachineDrainState::Waiting | MachineDrainState::Gone => None,
        }
    }
}

/// A machine of a drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineEntry {
    /// Its name.
    pub machine: String,
    /// Its state.
    pub state: MachineDrainState,
}

/// A part of a drain's machines that is stored as one value.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Chunk {
    /// The machines, in the order of their names.
    pub machines: Vec<MachineEntry>,
}

/// How many machines of a drain are in which state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Nothing has happened to them.
    pub waiting: usize,
    /// Their replacements are under way.
    pub replacing: usize,
    /// They are being emptied.
    pub cordoned: usize,
    /// Given back.
    pub returned: usize,
    /// Of these, replaced.
    pub replaced: usize,
    /// Gone by themselves.
    pub gone: usize,
}

/// All machines of a drain.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    chunks: Vec<Chunk>,
    /// Where each machine's entry is, by the machine's name.
    places: BTreeMap<String, EntryPlace>,
}

/// The place of an entry.
#[derive(Debug, Clone, Copy)]
struct EntryPlace {
    chunk: usize,
    within: usize,
}

/// Bytes of an entry in a record besides the names of the machine and of its replacement, the longest state's.
const ENTRY_BYTES: usize = 100;
/// A replacement's name is taken to be as long as this, or as its machine's.
const NAME_BYTES: usize = 40;

impl Progress {
    /// A drain of these machines, all waiting, split so that each part stays within `max_value_bytes` whatever states its
    /// machines go through.
    pub fn of(machines: impl IntoIterator<Item = String>, max_value_bytes: usize) -> Self {
        let mut chunks: Vec<Chunk> = Vec::new();
        let mut room = 0;
        for machine in machines {
            let bytes = ENTRY_BYTES + machine.len() + NAME_BYTES.max(machine.len());
            if chunks.is_empty() || bytes > room {
                chunks.push(Chunk::default());
                room = max_value_bytes.saturating_sub(ENTRY_BYTES);
            }
            room = room.saturating_sub(bytes);
            if let Some(chunk) = chunks.last_mut() {
                chunk.machines.push(MachineEntry { machine, state: MachineDrainState::Waiting });
            }
        }
        Progress::restore(chunks)
    }

    /// A drain as it was stored, its parts in order.
    pub fn restore(chunks: Vec<Chunk>) -> Self {
        let mut places = BTreeMap::new();
        for (at, chunk) in chunks.iter().enumerate() {
            for (within, entry) in chunk.machines.iter().enumerate() {
                places.insert(entry.machine.clone(), EntryPlace { chunk: at, within });
            }
        }
        Progress { chunks, places }
    }

    /// The parts to be stored.
    pub fn chunks(&self) -> &[Chunk] {
        &self.chunks
    }

    /// The state of a machine; `None`: it is not of this drain.
    pub fn state(&self, machine: &str) -> Option<&MachineDrainState> {
        let place = self.places.get(machine)?;
        Some(&self.chunks.get(place.chunk)?.machines.get(place.within)?.state)
    }

    /// Moves a machine to its next state, if it may go there. Returns the part that is to be stored again; `None`: nothing
    /// was changed.
    pub fn advance(&mut self, machine: &str, next: MachineDrainState) -> Option<usize> {
        let EntryPlace { chunk, within } = *self.places.get(machine)?;
        let entry = self.chunks.get_mut(chunk)?.machines.get_mut(within)?;
        if !entry.state.may_become(&next) {
            return None;
        }
        entry.state = next;
        Some(chunk)
    }

    /// All machines with their states, in the order of the record.
    pub fn machines(&self) -> impl Iterator<Item = (&str, &MachineDrainState)> {
        let entries = self.chunks.iter().flat_map(|chunk| &chunk.machines);
        entries.map(|entry| (entry.machine.as_str(), &entry.state))
    }

    /// How many machines are in which state.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for (_, state) in self.machines() {
            match state {
                MachineDrainState::Waiting => counts.waiting += 1,
                MachineDrainState::Replacing { .. } => counts.replacing += 1,
                MachineDrainState::Cordoned { .. } => counts.cordoned += 1,
                MachineDrainState::Returned { replacement } => {
                    counts.returned += 1;
                    counts.replaced += usize::from(replacement.is_some());
                }
                MachineDrainState::Gone => counts.gone += 1,
            }
        }
        counts
    }

    /// Whether nothing is left to do.
    pub fn is_finished(&self) -> bool {
        self.machines().all(|(_, state)| state.is_final())
    }
}
