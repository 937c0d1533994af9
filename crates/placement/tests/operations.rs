//! The records of operators' orders: how they are saved, read and dropped.
use dw_placement::operations::MAX_OPERATIONS_BYTES;
use dw_placement::prelude::*;

/// A saved state in the previous format: the configuration with revision 9, the records
/// of a numbered and a named order, and an emptied zone.
const PREVIOUS_FORMAT_STATE: &str = "aa676368617274657278187b227265766973696f6e223a392c22646f63223a2278227d6f\
    636861727465725f76657273696f6ea2647465726d0265636f756e7405636f707382837472303e7730313233343536373839\
    6162636465661ae14ac909a2647465726d0165636f756e7403836762792d68616e641a087b1a17a2647465726d0265636f75\
    6e7405676d656d62657273a06f6d656d626572735f76657273696f6ea2647465726d0065636f756e7400666c61796f7574a0\
    65656d70747981627a3167647261696e6564806e6f72646572735f76657273696f6ea2647465726d0265636f756e74066872\
    65746972696e67a0";

/// A log entry in the previous format: a numbered configuration on base 0.
const PREVIOUS_FORMAT_ORDER: &str = "a16743686172746572a3626f707472303e77303132333435363738396162636465666462617365\
    a2647465726d0065636f756e7400646a736f6e78187b227265766973696f6e223a372c22646f63223a2278227d";

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.chars().filter_map(|c| c.to_digit(16)).map(|d| d as u8).collect();
    digits.chunks(2).map(|pair| pair[0] << 4 | pair[1]).collect()
}

fn version(term: u64, count: u64) -> Version {
    Version { term: Term(term), count }
}

fn numbered(base: u64) -> OperationId {
    OperationId::numbered(OrderKind::Full, base, &format!("words on {base}"))
}

fn recorded(count: u64) -> Operations {
    let mut operations = Operations::default();
    for base in 0..count {
        operations.record(Operation { id: numbered(base), request: None, version: version(1, base + 1) });
    }
    operations
}

#[test]
fn orders_differ_by_kind_base_and_text() {
    let one = OperationId::numbered(OrderKind::Full, 7, "words");
    assert_eq!(one, OperationId::numbered(OrderKind::Full, 7, "words"));
    assert_ne!(one, OperationId::numbered(OrderKind::Patch, 7, "words"));
    assert_ne!(one, OperationId::numbered(OrderKind::Full, 8, "words"));
    assert_ne!(one, OperationId::numbered(OrderKind::Full, 7, "words "));
}

#[test]
fn the_digest_is_sha_256() {
    // The input is 'w' for a whole configuration, the base 7 in eight bytes, and "abc".
    let digest = OrderDigest::of(OrderKind::Full, 7, "abc").to_string();
    assert_eq!(digest, "6d31ace3b0b05e9b9d0e60ad6b85b8cafbf140641ff997d46b979c462462b5fb");
}

#[test]
fn ids_are_read_back_as_written() {
    for id in [numbered(u64::MAX), OperationId::Named("by-hand".into())] {
        assert_eq!(decode::<OperationId>(&encode(&id)).unwrap(), id);
    }
    let operations = recorded(3);
    assert_eq!(decode::<Operations>(&encode(&operations)).unwrap(), operations);
}

#[test]
fn what_was_dropped_is_unknown_and_all_else_is_certain() {
    let count = 10_000;
    let operations = recorded(count);
    let kept = operations.len() as u64;
    assert!(kept >= 3_000 && kept < count, "{kept} records are kept");
    let oldest = count - kept;
    for base in [0, oldest - 1] {
        assert_eq!(operations.status(&numbered(base), None), OperationStatus::Unknown, "base {base}");
    }
    for base in [oldest, count - 1] {
        assert_eq!(operations.status(&numbered(base), None), OperationStatus::Done(version(1, base + 1)), "base {base}");
        let other = OperationId::numbered(OrderKind::Full, base, "other words");
        assert_eq!(operations.status(&other, None), OperationStatus::NotDone, "base {base}");
    }
}

#[test]
fn the_records_stay_within_their_bytes() {
    for count in [256, 1_000, 10_000] {
        let size = encode(&recorded(count)).len();
        println!("{count} orders: {size} bytes");
        assert!(size <= MAX_OPERATIONS_BYTES + 1_024, "{size} bytes of {count} orders");
    }
    let mut operations = Operations::default();
    for n in 0..10_000u64 {
        let id = OperationId::Named(format!("{n:0>128}"));
        let request = Some(OrderDigest::of(OrderKind::Patch, 0, "words"));
        operations.record(Operation { id, request, version: version(u64::MAX, u64::MAX) });
    }
    let size = encode(&operations).len();
    assert!(size <= MAX_OPERATIONS_BYTES + 1_024, "{size} bytes of named orders");
}

#[test]
fn a_named_order_is_distinguished_from_another_of_the_same_name() {
    let mut operations = Operations::default();
    let id = OperationId::Named("op-1".into());
    let [one, two] = ["one", "two"].map(|words| Some(OrderDigest::of(OrderKind::Patch, 0, words)));
    operations.record(Operation { id: id.clone(), request: one, version: version(1, 1) });
    assert_eq!(operations.status(&id, one), OperationStatus::Done(version(1, 1)));
    assert_eq!(operations.status(&id, two), OperationStatus::IdReused);
}

#[test]
fn a_state_in_the_previous_format_is_read_and_proves_nothing_of_its_orders() {
    let state = PlacementState::read(&bytes(PREVIOUS_FORMAT_STATE)).expect("readable");
    assert_eq!((state.config.as_str(), state.config_version), ("{\"revision\":9,\"doc\":\"x\"}", version(2, 5)));
    assert!(state.empty_zones.contains(&Zone("z1".into())));
    for base in [0, 7, 8] {
        assert_eq!(state.operations.status(&numbered(base), None), OperationStatus::Unknown, "base {base}");
    }
    assert_eq!(state.operations.status(&numbered(9), None), OperationStatus::NotDone);
    let named = OperationId::Named("by-hand".into());
    let request = Some(OrderDigest::of(OrderKind::Full, 0, "words"));
    assert_eq!(state.operations.status(&named, request), OperationStatus::Unknown);
    assert_eq!(PlacementState::read(&encode(&state)), Some(state));
}

#[test]
fn a_log_entry_in_the_previous_format_is_read_and_proves_nothing() {
    let order: Order = decode(&bytes(PREVIOUS_FORMAT_ORDER)).expect("readable");
    let mut state = PlacementState::default();
    assert_eq!(state.apply(3, Term(1), &order), Applied::Done(version(1, 3)));
    assert_eq!(state.operations.status(&numbered(0), None), OperationStatus::Unknown);
    assert_eq!(state.operations.status(&numbered(7), None), OperationStatus::NotDone);
}
