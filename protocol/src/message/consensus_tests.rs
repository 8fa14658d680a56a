//! The wire encoding of positions.
use super::{ConsensusResponse, KeyPosition, Position, ProposalNumber};
use rkyv::rancor;

/// `ConsensusResponse` as declared when positions were still tuples.
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

/// Keys that rkyv stores inline and out of line, and an empty one.
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
fn positions_encode_to_the_bytes_of_the_former_tuples() {
    for count in 0..=KEYS.len() {
        let tuple_form = TupleResponse::Positions { list: tuples()[..count].to_vec() };
        let struct_form = ConsensusResponse::Positions { positions: structs()[..count].to_vec() };
        let tuple_bytes = rkyv::to_bytes::<rancor::Error>(&tuple_form).expect("the tuples are encoded");
        let struct_bytes = rkyv::to_bytes::<rancor::Error>(&struct_form).expect("the structs are encoded");
        assert_eq!(tuple_bytes.as_slice(), struct_bytes.as_slice(), "{count} keys");
        let decoded =
            rkyv::from_bytes::<ConsensusResponse, rancor::Error>(&tuple_bytes).expect("the bytes decode as structs");
        assert_eq!(decoded, struct_form);
    }
}

#[test]
fn positions_have_the_order_of_the_former_tuples() {
    let number = |term, replica_id| ProposalNumber { term, replica_id };
    let tuples = [(number(1, 9), 9), (number(2, 1), 7), (number(2, 1), 8), (number(2, 2), 0), (number(3, 0), 0)];
    for left in tuples {
        for right in tuples {
            let position = |(proposal_number, index)| Position { proposal_number, index };
            assert_eq!(position(left).cmp(&position(right)), left.cmp(&right));
        }
    }
}
