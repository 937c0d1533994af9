//! A long configuration is compressed once and sent compressed to the daemons that can
//! read it so.
mod fleet;
use fleet::*;

/// The updates that the primary sends to a daemon that pulls for the first time.
fn updates_for(f: &mut Fleet, name: &str, reads_compressed: bool) -> Vec<Update> {
    let primary = f.primary().unwrap();
    let puller = member(name, "z1");
    let pull = PeerMessage::Pull {
        requested_at: f.now,
        last_answered: (Term(0), Time(0)),
        held_versions: VersionVector::default(),
        member: puller.clone(),
        report: None,
        reads_compressed,
    };
    let now = f.now;
    let out = f.cores.get_mut(&primary).unwrap().step(Event::MessageReceived { from: puller.id, message: pull }, now);
    let updates = |effect| match effect {
        Effect::Send(_, PeerMessage::PullResponse { updates, .. }) => updates,
        _ => Vec::new(),
    };
    out.into_iter().flat_map(updates).map(|(_, update)| update).collect()
}

fn config_of(items: &[Update]) -> &Update {
    items.iter().find(|item| item.topic() == Topic::Config).expect("a configuration")
}

/// A configuration with this many services.
fn config_with_services(services: usize) -> Value {
    let mut config = first_config();
    let listed = (0..services).map(|n| json!({"name": format!("service-{n:04}"), "slots": 4, "warm_ms": 2000}));
    config["services"].as_array_mut().unwrap().extend(listed);
    config
}

#[test]
fn a_long_configuration_is_compressed_for_those_that_read_it() {
    let mut f = Fleet::serving();
    let config = config_with_services(600);
    assert_eq!(f.put_config(0, &config).code, 200);
    f.run(2_000);
    let committed = state(&f).config.clone();
    let items = updates_for(&mut f, "agent-1", true);
    let Update::CompressedConfig(text) = config_of(&items) else { panic!("{items:?}") };
    assert_eq!(text.read(MAX_CONFIG_BYTES).as_deref(), Some(committed.as_str()));
    assert!(text.size() * 5 < committed.len(), "{} of {} bytes", text.size(), committed.len());
    assert_eq!(text.read(committed.len() - 1), None, "longer than its receiver accepts");
    let items = updates_for(&mut f, "agent-2", false);
    assert_eq!(*config_of(&items), Update::Config(committed));
}

#[test]
fn a_short_configuration_is_sent_as_it_is() {
    let mut f = Fleet::serving();
    assert_eq!(f.put_config(0, &first_config()).code, 200);
    f.run(2_000);
    let items = updates_for(&mut f, "agent-1", true);
    assert!(matches!(config_of(&items), Update::Config(_)), "{items:?}");
}

#[test]
fn the_worker_list_goes_to_deliveries_only_and_agents_are_not_announced() {
    let mut f = Fleet::serving();
    assert_eq!(f.put_config(0, &first_config()).code, 200);
    f.add("agent-1", "z1");
    f.run(2_000);
    let version = state(&f).members_version;
    f.add("agent-2", "z2");
    f.run(2_000);
    let agents = state(&f).members.keys().filter(|d| d.kind() == DaemonKind::Agent).count();
    assert_eq!(agents, 2, "they are members, so that a new primary can announce itself to them");
    assert_eq!(state(&f).members_version, version, "a joining agent is not announced to the others");
    let topics = |items: &[Update]| items.iter().map(Update::topic).collect::<BTreeSet<_>>();
    for name in ["agent-1", "store-1"] {
        let items = updates_for(&mut f, name, true);
        assert!(!topics(&items).contains(&Topic::Workers), "{name}: {items:?}");
        let Some(Update::Members(members)) = items.iter().find(|item| item.topic() == Topic::Members) else { panic!() };
        assert!(members.iter().all(|m| matches!(m.id.kind(), DaemonKind::Store | DaemonKind::Delivery)), "{members:?}");
    }
}

#[test]
fn an_agent_that_is_started_again_is_no_new_member() {
    let mut f = Fleet::serving();
    f.add("agent-1", "z1");
    f.run(2_000);
    let before = f.cores[&f.primary().unwrap()].election.commit_index();
    f.fakes.get_mut(&daemon("agent-1")).unwrap().member.incarnation = IncarnationId(99);
    f.run(2_000);
    assert_eq!(f.cores[&f.primary().unwrap()].election.commit_index(), before, "no decision depends on its incarnation");
}
