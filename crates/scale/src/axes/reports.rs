//! What a pull and its answer weigh, by the entries in them: the codec alone.
use super::sizes;
use crate::prelude::*;
use crate::shape::mark_of;
use crate::thread_time::nanos;

pub fn run(quick: bool) -> Axis {
    let mut axis = Axis::new("reports", "entries of one kind in one frame", "one frame, written and read");
    let shape = Shape::default();
    let me = shape.member(&Daemon("delivery-00001".into()));
    let place = |n: usize| PartitionId { tenant: format!("outside-{:06}", n / 50), queue: format!("to-{n:07}"), number: 0 };
    let leader = Daemon("store-00001".into());
    let epoch = Epoch { term: Term(7), count: 1_234_567 };
    for n in sizes(quick, &[10, 100, 1000, 10_000]) {
        let need = |report: Report| PeerMessage::Pull {
            requested_at: Time(1 << 40),
            last_answered: (Term(7), Time(1 << 40)),
            held_versions: VersionVector::default(),
            member: me.clone(),
            report: Some(report),
            reads_compressed: false,
        };
        let claims: Vec<Claim> = (0..n)
            .map(|i| Claim { duty: Duty::Endpoint(format!("destination-{i:07}")), epoch, from_checkpoint: false })
            .collect();
        let kept = (0..n).map(|i| Claim { duty: Duty::Lead(place(i)), epoch, from_checkpoint: false }).collect();
        let held = (0..n).map(|i| (place(i), 123_456)).collect();
        let seen = (0..n).map(|i| (Duty::Endpoint(format!("destination-{i:07}")), me.id.clone())).collect();
        let assigned = (0..n).map(|i| (place(i), leader.clone())).collect();
        let set: Vec<(Daemon, IncarnationId)> =
            (1..=3).map(|i| Daemon(format!("store-{i:05}"))).map(|d| (d.clone(), mark_of(&d))).collect();
        let grant = |duty: Duty, set: Vec<(Daemon, IncarnationId)>| Grant {
            duty,
            epoch,
            write_set: set,
            replacement: None,
            replacement_number: Version::ZERO,
            release_requested: false,
            slot_range: None,
        };
        let news = |items: Vec<(Version, Update)>, grants: Vec<Grant>| PeerMessage::PullResponse {
            requested_at: Time(1 << 40),
            term: Term(7),
            config_valid_for: Some(Span::millis(2500)),
            updates: items,
            grants,
            late_stores: Vec::new(),
        };
        let places = (0..n).map(|i| (place(i), PartitionLocation { leader: leader.clone(), epoch })).collect();
        let all = [
            ("a delivery's claims", need(Report { claims, ..Report::default() })),
            ("a store's claims and counts", need(Report { claims: kept, message_counts: held, ..Report::default() })),
            ("a store's evidence of holders", need(Report { last_seen_holders: seen, ..Report::default() })),
            ("a delivery's assigned places", need(Report { partition_leaders: assigned, ..Report::default() })),
            (
                "a delivery's grants",
                news(Vec::new(), (0..n).map(|i| grant(Duty::Endpoint(format!("destination-{i:07}")), Vec::new())).collect()),
            ),
            ("a store's grants", news(Vec::new(), (0..n).map(|i| grant(Duty::Lead(place(i)), set.clone())).collect())),
            ("places as news", news(vec![(epoch, Update::Partitions(places))], Vec::new())),
        ];
        for (name, msg) in all {
            let t = nanos();
            let frame = encode(&msg);
            let wrote = nanos();
            std::hint::black_box(decode::<PeerMessage>(&frame).is_ok());
            let read = nanos();
            axis.line(&format!("{name}: bytes"), "bytes", n as f64, frame.len() as f64);
            axis.line(&format!("{name}: written and read, us"), "us", n as f64, ((wrote - t) + (read - wrote)) as f64 / 1e3);
        }
    }
    axis.fitted()
}
