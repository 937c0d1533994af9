//! Hard state written in the earlier format can be read, including its members
//! and membership changes.
use dw_election::prelude::*;

/// The hard state as the previous version declared it.
#[derive(Serialize)]
struct EarlierState {
    mark: IncarnationId,
    founded: bool,
    term: Term,
    vote: Option<Daemon>,
    base: EarlierBase,
    log: Vec<EarlierEntry>,
}
#[derive(Serialize)]
struct EarlierBase {
    index: u64,
    term: Term,
    members: BTreeMap<Daemon, IncarnationId>,
    data: bytes::Bytes,
}
#[derive(Serialize)]
struct EarlierEntry {
    term: Term,
    item: EarlierItem,
}
#[derive(Serialize)]
#[allow(dead_code)]
enum EarlierItem {
    Open,
    Admit(Daemon, IncarnationId),
    Expel(Daemon),
    Do(u32),
}

#[test]
fn members_entries_and_changes_of_one_member_become_configurations() {
    let daemon = |n: u64| Daemon(format!("placement-{n}"));
    let entry = |item| EarlierEntry { term: Term(3), item };
    let earlier = EarlierState {
        mark: IncarnationId(1),
        founded: true,
        term: Term(3),
        vote: Some(daemon(1)),
        base: EarlierBase {
            index: 7,
            term: Term(2),
            members: (1..=3).map(|n| (daemon(n), IncarnationId(n))).collect(),
            data: vec![4, 5].into(),
        },
        log: vec![
            entry(EarlierItem::Open),
            entry(EarlierItem::Expel(daemon(2))),
            entry(EarlierItem::Do(6)),
            entry(EarlierItem::Admit(daemon(2), IncarnationId(9))),
        ],
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&earlier, &mut bytes).unwrap();
    let read: HardState<u32> = ciborium::from_reader(bytes.as_slice()).unwrap();
    let state = read.upgraded();
    assert_eq!(state.last_index(), 11);
    assert_eq!(state.snapshot.data.as_ref(), [4, 5]);
    assert_eq!(state.snapshot.configuration.voters[&daemon(2)].disk_id, IncarnationId(2));
    assert_eq!(state.entry(10).unwrap().command, Command::Apply(6));
    let (index, configuration) = state.configuration_at(9);
    assert_eq!((index, configuration.voters.len()), (9, 2));
    let (index, configuration) = state.configuration_at(11);
    assert_eq!((index, configuration.voters[&daemon(2)].disk_id), (11, IncarnationId(9)));
    // The current format is read back unchanged.
    let mut bytes = Vec::new();
    ciborium::into_writer(&state, &mut bytes).unwrap();
    let again: HardState<u32> = ciborium::from_reader(bytes.as_slice()).unwrap();
    assert_eq!(again, state);
}
