//! Guards against more connections than descriptors or memory allow.

use kernel::settings::Limits;

use super::{ConnectionLimits, MIN_CONNECTIONS};

fn limits(memory_mb: u64, fd_limit: u64) -> ConnectionLimits {
    ConnectionLimits::new(&Limits { memory_mb, fd_limit, disk_mb: 0 })
}

#[test]
fn connections_take_half_of_the_descriptors_and_a_quarter_of_the_memory() {
    assert_eq!(limits(260, 4000), ConnectionLimits { clients: 1900, operators: 475, peers: 1425 });
    assert_eq!(limits(64, 4000).clients, 488);
    assert_eq!(limits(64, 4000).operators + limits(64, 4000).peers, 488);
}

#[test]
fn a_few_connections_are_always_accepted() {
    let fewest = ConnectionLimits { clients: MIN_CONNECTIONS, operators: MIN_CONNECTIONS, peers: MIN_CONNECTIONS };
    assert_eq!(limits(16, 64), fewest);
}
