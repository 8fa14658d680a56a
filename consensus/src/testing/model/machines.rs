//! Machines, identified by number, and small sets of them.

use protocol::message::Member;

/// Returns the address of a machine.
pub fn address(machine: usize) -> String {
    format!("10.0.0.{machine}")
}

/// Returns this machine as a member.
pub fn member(machine: usize) -> Member {
    Member { ip: address(machine), zone: String::new() }
}

/// A set of at most eight machines.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachineSet(u8);

impl MachineSet {
    /// The maximum number of machines in a set.
    pub const COUNT: usize = 8;

    /// Returns all subsets of the first `count` machines, in ascending order of their bits.
    pub fn subsets(count: usize) -> impl Iterator<Item = MachineSet> {
        (0..1u16 << count).map(|bits| MachineSet(bits as u8))
    }

    /// Returns whether the machine is in the set.
    pub fn contains(self, machine: usize) -> bool {
        self.0 & (1 << machine) != 0
    }

    /// Returns whether all machines of the other set are in this one.
    pub fn includes(self, other: MachineSet) -> bool {
        self.0 & other.0 == other.0
    }

    /// Returns the set without one machine.
    pub fn without(self, machine: usize) -> MachineSet {
        MachineSet(self.0 & !(1 << machine))
    }

    /// Returns the machines in ascending order.
    pub fn iter(self) -> impl Iterator<Item = usize> {
        (0..MachineSet::COUNT).filter(move |machine| self.contains(*machine))
    }
}

impl FromIterator<usize> for MachineSet {
    fn from_iter<I: IntoIterator<Item = usize>>(machines: I) -> MachineSet {
        MachineSet(machines.into_iter().fold(0, |bits, machine| bits | 1 << machine))
    }
}

impl std::fmt::Debug for MachineSet {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        out.debug_set().entries(self.iter()).finish()
    }
}
