//! Where one backup is needed, the backups of many partitions are spread over the write
//! set, whichever store answered first.
mod settings;
use dw_queue::prelude::*;
use settings::*;
use std::collections::VecDeque;

const STEP: Span = Span::millis(20);
const LEADER: &str = "store-1";
const FAST: &str = "store-2";
const SLOW: &str = "store-3";
const PARTITIONS: u32 = 8;
const CONFIG: &str = r#"{"revision":1,"spool":8,"services":[{"name":"s"}],
  "routes":[{"name":"r","host":"h","prefix":"/a/","service":"s","attempts":3,"attempt_ms":1000,"verdict_ms":80}]}"#;

fn in_own_zone(name: &str) -> Member {
    Member { disk_id: IncarnationId(hash_of(name.as_bytes())), ..member(name, &name.replace("store", "zone")) }
}

/// Three stores; what one of them sends arrives a step later.
struct Stores {
    now: Time,
    cores: BTreeMap<Daemon, Store>,
    queue: VecDeque<(Daemon, Event)>,
    delayed: VecDeque<(Daemon, Event)>,
    epoch: u64,
    /// Requests for copies.
    copy_requests: usize,
}

impl Stores {
    fn new() -> Stores {
        let mut stores = Stores {
            now: Time::millis(1_000),
            cores: BTreeMap::new(),
            queue: VecDeque::new(),
            delayed: VecDeque::new(),
            epoch: 1,
            copy_requests: 0,
        };
        for name in [LEADER, FAST, SLOW] {
            let me = in_own_zone(name);
            let disk_id = me.disk_id;
            let settings = Startup { pull_interval: Span::millis(300), rng_seed: disk_id.0, ..startup(me) };
            let (core, out) = Store::new(settings, &Vec::new(), disk_id, stores.now);
            stores.cores.insert(daemon(name), core);
            stores.handle_effects(&daemon(name), out);
        }
        stores.run(3_000);
        stores
    }

    fn handle_effects(&mut self, id: &Daemon, out: Vec<Effect>) {
        for effect in out {
            match effect {
                Effect::Send(_, PeerMessage::Pull { requested_at, .. }) => self.answer_pull(id, requested_at),
                Effect::Send(to, message) if self.cores.contains_key(&to) => {
                    self.copy_requests += usize::from(matches!(message, PeerMessage::FetchCopy { .. }));
                    let event = Event::MessageReceived { from: id.clone(), message };
                    match id.as_str() == SLOW {
                        true => self.delayed.push_back((to, event)),
                        false => self.queue.push_back((to, event)),
                    }
                }
                Effect::Save { number: n, .. } => self.queue.push_back((id.clone(), Event::Saved(n))),
                _ => {}
            }
        }
    }

    /// Grants all partitions to the leader.
    fn answer_pull(&mut self, to: &Daemon, requested_at: Time) {
        let version = Version { term: Term(1), count: 1 };
        let members: Vec<Member> = [LEADER, FAST, SLOW].map(in_own_zone).to_vec();
        let set: Vec<(Daemon, IncarnationId)> = members.iter().map(|m| (m.id.clone(), m.disk_id)).collect();
        let updates = vec![(version, Update::Members(members)), (version, Update::Config(CONFIG.to_string()))];
        let grant = |number: u32| Grant {
            duty: Duty::Lead(Rules::spool_partition(number)),
            epoch: Epoch { term: Term(1), count: self.epoch },
            write_set: set.clone(),
            replacement: None,
            replacement_number: Version::ZERO,
            release_requested: false,
            slot_range: None,
        };
        let granted = if to.as_str() == LEADER { PARTITIONS } else { 0 };
        let grants = (0..granted).map(grant).collect();
        let fresh = Some(Span::millis(2_500));
        let message = PeerMessage::PullResponse {
            requested_at,
            term: Term(1),
            config_valid_for: fresh,
            updates,
            grants,
            late_stores: Vec::new(),
        };
        self.queue.push_back((to.clone(), Event::MessageReceived { from: daemon("placement-1"), message }));
    }

    fn deliver_all(&mut self) {
        while let Some((id, event)) = self.queue.pop_front() {
            let now = self.now;
            let out = self.cores.get_mut(&id).map(|core| core.step(event, now)).unwrap_or_default();
            self.handle_effects(&id, out);
        }
    }

    fn run(&mut self, ms: u64) {
        let end = self.now + Span::millis(ms);
        while self.now < end {
            self.now += STEP;
            self.queue.append(&mut self.delayed);
            for id in self.cores.keys().cloned().collect::<Vec<_>>() {
                self.queue.push_back((id, Event::Tick));
                self.deliver_all();
            }
        }
    }

    fn leader_states(&self) -> Vec<&LeaderState> {
        self.cores[&daemon(LEADER)].partitions.values().filter_map(|number| number.leader_state.as_ref()).collect()
    }

    /// How many partitions have their backup at each store.
    fn backups(&self) -> BTreeMap<String, usize> {
        let mut backups = BTreeMap::new();
        for leader_state in self.leader_states() {
            assert_eq!((leader_state.phase, leader_state.backups.len()), (Phase::Serving, 1), "{:?}", leader_state.backups);
            for backup in leader_state.backups.keys() {
                *backups.entry(backup.to_string()).or_default() += 1;
            }
        }
        backups
    }
}

#[test]
fn backups_are_not_all_at_the_store_that_answered_first() {
    let stores = Stores::new();
    let backups = stores.backups();
    assert_eq!(stores.leader_states().len(), PARTITIONS as usize);
    assert!(backups.values().all(|count| *count >= 2) && backups.len() == 2, "{backups:?}");
    assert_eq!(stores.copy_requests, 0, "no store lacked anything");
}

#[test]
fn a_store_that_would_need_a_copy_does_not_become_a_backup() {
    let mut stores = Stores::new();
    let before = stores.backups();
    // Each partition replicates to its backup alone; then all are opened again.
    for number in 0..PARTITIONS {
        let body = Bytes::from_static(b"body");
        let id = MessageId(format!("m{number}"));
        let header = MessageHeader { id, crc: crc32(&body), len: 4, ..MessageHeader::default() };
        let message = PeerMessage::Submit {
            request_id: u64::from(number),
            proxy: daemon("proxy-1"),
            relayed_by: None,
            wants_refusal: false,
            partition: Rules::spool_partition(number),
            version: Version::ZERO,
            header,
            body,
            age_bound: None,
            refusal: None,
        };
        stores.queue.push_back((daemon(LEADER), Event::MessageReceived { from: daemon("proxy-1"), message }));
    }
    stores.run(1_000);
    stores.epoch = 2;
    stores.run(4_000);
    let after = stores.backups();
    assert_eq!(after.values().sum::<usize>(), PARTITIONS as usize);
    assert_eq!(stores.copy_requests, 0, "{before:?} to {after:?}");
}
