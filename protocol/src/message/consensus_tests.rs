//! The bytes of positions on the wire.
use super::{ConsensusResponse, KeyPosition, Position, ProposalNumber};
use rkyv::rancor;

/// The response as it was declared before positions were a type of their own.
#[derive(rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
enum TupleResponse {
    #[allow(dead_code)]
    Prepared {
        entry: Option<super::Entry>,
    },
    #[allow(dead_code)]
    Accepted,
    #[allow(dead_code)]
    Rejected {
        prepared: ProposalNumber,
    },
    Positions {
        list: Vec<(String, ProposalNumber, u64)>,
    },
    #[allow(dead_code)]
    Snapshot {
        registers: Vec<super::RegisterState>,
    },
    #[allow(dead_code)]
    Fetched {
        entry: Option<super::Entry>,
    },
    #[allow(dead_code)]
    NewerMembership {
        membership: super::CoreMembership,
    },
    #[allow(dead_code)]
    NonVoting,
}

/// Keys that are stored inline, out of line and not at all.
const KEYS: [&str; 4] = ["", "core", "config", "evacuation/a-zone-with-a-long-name"];

fn tuples() -> Vec<(String, ProposalNumber, u64)> {
    let number = |at: u64| ProposalNumber { term: 0x0102_0304_0506_0700 + at, replica_id: u64::MAX - at };
    KEYS.iter().zip(1..).map(|(key, at)| (key.to_string(), number(at), at << 40)).collect()
}

fn structs() -> Vec<KeyPosition> {
    let position = |(key, proposal_number, index)| KeyPosition { key, position: Position { proposal_number, index } };
    tuples().into_iter().map(position).collect()
}

#[test]
fn positions_have_the_bytes_of_the_tuples_that_they_replace() {
    for count in 0..=KEYS.len() {
        let tuple_form = TupleResponse::Positions { list: tuples()[..count].to_vec() };
        let struct_form = ConsensusResponse::Positions { positions: structs()[..count].to_vec() };
        let tuple_bytes = rkyv::to_bytes::<rancor::Error>(&tuple_form).expect("bytes of the tuples");
        let struct_bytes = rkyv::to_bytes::<rancor::Error>(&struct_form).expect("bytes of the structs");
        assert_eq!(tuple_bytes.as_slice(), struct_bytes.as_slice(), "{count} keys");
        let read = rkyv::from_bytes::<ConsensusResponse, rancor::Error>(&tuple_bytes).expect("read as structs");
        assert_eq!(read, struct_form);
    }
}

#[test]
fn positions_order_as_the_tuples_did() {
    let number = |term, replica_id| ProposalNumber { term, replica_id };
    let tuples = [(number(1, 9), 9), (number(2, 1), 7), (number(2, 1), 8), (number(2, 2), 0), (number(3, 0), 0)];
    for one in tuples {
        for other in tuples {
            let position = |(proposal_number, index)| Position { proposal_number, index };
            assert_eq!(position(one).cmp(&position(other)), one.cmp(&other));
        }
    }
}
