//! A long configuration is compressed once and sent so to those that read it.
mod fleet;
use fleet::*;

/// A daemon's pull that has nothing yet, and what it is told.
fn told(f: &mut Fleet, name: &str, reads_compressed: bool) -> Vec<Update> {
    let primary = f.primary().unwrap();
    let me = member(name, "z1");
    let need = PeerMessage::Pull {
        requested_at: f.now,
        last_answered: (Term(0), Time(0)),
        held_versions: VersionVector::default(),
        member: me.clone(),
        report: None,
        reads_compressed,
    };
    let now = f.now;
    let out = f.cores.get_mut(&primary).unwrap().step(Event::MessageReceived { from: me.id, message: need }, now);
    let items = |effect| match effect {
        Effect::Send(_, PeerMessage::PullResponse { updates: items, .. }) => items,
        _ => Vec::new(),
    };
    out.into_iter().flat_map(items).map(|(_, item)| item).collect()
}

fn config_of(items: &[Update]) -> &Update {
    items.iter().find(|item| item.topic() == Topic::Config).expect("a configuration")
}

/// One with so many services.
fn long(services: usize) -> Value {
    let mut config = first();
    let listed = (0..services).map(|n| json!({"name": format!("service-{n:04}"), "slots": 4, "warm_ms": 2000}));
    config["services"].as_array_mut().unwrap().extend(listed);
    config
}

#[test]
fn a_long_configuration_is_compressed_for_those_that_read_it() {
    let mut f = Fleet::whole();
    let config = long(600);
    assert_eq!(f.put(0, &config).code, 200);
    f.run(2_000);
    let committed = hard(&f).config.clone();
    let items = told(&mut f, "agent-1", true);
    let Update::CompressedConfig(text) = config_of(&items) else { panic!("{items:?}") };
    assert_eq!(text.read(MAX_CONFIG_BYTES).as_deref(), Some(committed.as_str()));
    assert!(text.size() * 5 < committed.len(), "{} of {} bytes", text.size(), committed.len());
    assert_eq!(text.read(committed.len() - 1), None, "longer than its receiver takes");
    let items = told(&mut f, "agent-2", false);
    assert_eq!(*config_of(&items), Update::Config(committed));
}

#[test]
fn a_short_configuration_is_sent_as_it_is() {
    let mut f = Fleet::whole();
    assert_eq!(f.put(0, &first()).code, 200);
    f.run(2_000);
    let items = told(&mut f, "agent-1", true);
    assert!(matches!(config_of(&items), Update::Config(_)), "{items:?}");
}

#[test]
fn the_list_of_workers_goes_to_deliveries_and_nobody_is_told_of_agents() {
    let mut f = Fleet::whole();
    assert_eq!(f.put(0, &first()).code, 200);
    f.add("agent-1", "z1");
    f.run(2_000);
    let version = hard(&f).members_version;
    f.add("agent-2", "z2");
    f.run(2_000);
    let agents = hard(&f).members.keys().filter(|d| d.kind() == DaemonKind::Agent).count();
    assert_eq!(agents, 2, "a new primary tells them that it is there");
    assert_eq!(hard(&f).members_version, version, "an agent's coming is news to nobody");
    let sources = |items: &[Update]| items.iter().map(Update::topic).collect::<BTreeSet<_>>();
    for name in ["agent-1", "store-1"] {
        let items = told(&mut f, name, true);
        assert!(!sources(&items).contains(&Topic::Workers), "{name}: {items:?}");
        let Some(Update::Members(members)) = items.iter().find(|item| item.topic() == Topic::Members) else { panic!() };
        assert!(members.iter().all(|m| matches!(m.id.kind(), DaemonKind::Store | DaemonKind::Delivery)), "{members:?}");
    }
}

#[test]
fn an_agent_that_is_started_again_is_no_new_member() {
    let mut f = Fleet::whole();
    f.add("agent-1", "z1");
    f.run(2_000);
    let before = f.cores[&f.primary().unwrap()].election.commit_index();
    f.fakes.get_mut(&daemon("agent-1")).unwrap().me.incarnation = IncarnationId(99);
    f.run(2_000);
    assert_eq!(f.cores[&f.primary().unwrap()].election.commit_index(), before, "nothing is decided by its life");
}
