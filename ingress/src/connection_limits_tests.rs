//! Guards against more connections than descriptors or memory allow.

use kernel::settings::Limits;

use super::ConnectionLimits;

fn limits(memory_mb: u64, fd_limit: u64) -> ConnectionLimits {
    ConnectionLimits::new(&Limits { memory_mb, fd_limit, disk_mb: 0 })
}

#[test]
fn connections_are_limited_by_descriptors_and_by_memory() {
    assert_eq!(limits(260, 4000), ConnectionLimits { clients: 1900, operators: 475, peers: 2375 });
    assert_eq!(limits(64, 4000), ConnectionLimits { clients: 488, operators: 122, peers: 976 });
}

#[test]
fn listeners_of_a_controller_leave_descriptors_to_its_own_connections() {
    let ConnectionLimits { operators, peers, .. } = limits(10_000, 4200);
    assert_eq!(operators + peers, 3000);
}

#[test]
fn a_few_connections_are_always_accepted() {
    assert_eq!(limits(16, 64), ConnectionLimits { clients: 16, operators: 16, peers: 16 });
}
