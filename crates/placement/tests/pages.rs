//! Reading the list of workers in pages.
mod fleet;
use fleet::*;

fn worker(id: &str, cold: u64) -> Worker {
    Worker {
        id: id.into(),
        service: "huvo11a".into(),
        addr: format!("{id}:8080"),
        zone: "z1".into(),
        draining: false,
        age: Span::ZERO,
        slots: 6,
        remaining_warm_up: Span::millis(cold),
    }
}

fn page(workers: &[Worker], next: Option<&str>) -> CallResult {
    CallResult::WorkerList(ListPage { workers: workers.to_vec(), next: next.map(str::to_string) })
}

/// A fleet whose platform has a worker list with this rate limit.
fn with_worker_list(rate: f64) -> Fleet {
    let mut f = Fleet::with_worker_list("platform:80/instances", rate);
    f.add("delivery-1", "z1");
    f
}

/// Waits for the next call and answers it; returns when it was made and for which page.
fn answer_next_call(f: &mut Fleet, result: CallResult) -> (Time, Option<String>) {
    let before = f.calls.len();
    f.run_until(20_000, |f| f.calls.len() > before);
    let (at, caller, id, call) = f.calls[before].clone();
    let CallKind::WorkerList { page } = call.kind else { panic!("{:?}", call.kind) };
    f.step_alone(&caller, Event::CallFinished(id, result));
    (at, page)
}

/// The worker lists that a delivery received.
fn received_lists(f: &mut Fleet) -> Vec<Vec<Worker>> {
    f.run(450);
    let updates = &f.fakes[&daemon("delivery-1")].updates;
    updates.iter().filter_map(|i| if let Update::Workers(w) = i { Some(w.clone()) } else { None }).collect()
}

fn ids(w: &[Worker]) -> Vec<&str> {
    w.iter().map(|w| w.id.as_str()).collect()
}

#[test]
fn pages_are_combined_and_rows_keep_their_values() {
    let mut f = with_worker_list(0.0);
    assert_eq!(answer_next_call(&mut f, page(&[worker("i-3", 0), worker("i-1", 2_000)], Some("p-2"))).1, None);
    assert!(received_lists(&mut f).is_empty());
    let second_call = f.calls.last().unwrap().3.clone();
    assert_eq!((second_call.addr.as_str(), second_call.path.as_str()), ("platform:80", "/instances"));
    let (_, caller, id, call) = f.calls.last().unwrap().clone();
    assert_eq!(call.kind, CallKind::WorkerList { page: Some("p-2".into()) });
    f.step_alone(&caller, Event::CallFinished(id, page(&[worker("i-2", 0)], None)));
    let all = received_lists(&mut f);
    assert_eq!(ids(&all[0]), ["i-1", "i-2", "i-3"]);
    assert_eq!(all[0][0].slots, 6);
    // A delivery that receives the list a while later gets a cold time shorter by that
    // while.
    f.run(1_000);
    f.add("delivery-2", "z1");
    f.run(450);
    let late = f.fakes[&daemon("delivery-2")].updates.iter().find_map(|i| {
        if let Update::Workers(w) = i {
            Some(w[0].remaining_warm_up)
        } else {
            None
        }
    });
    assert!(late.unwrap() <= Span::millis(1_000), "{late:?}");
}

#[test]
fn a_failed_page_fails_the_round_and_the_last_list_stays_in_force() {
    let mut f = with_worker_list(0.0);
    answer_next_call(&mut f, page(&[worker("i-1", 0)], None));
    assert_eq!(received_lists(&mut f).len(), 1);
    let failures = [
        CallResult::Failed(SendState::NotSent),
        CallResult::Answered { code: 429, load: None, draining: false, body: Bytes::new() },
    ];
    for bad in failures {
        assert_eq!(answer_next_call(&mut f, page(&[worker("i-2", 0)], Some("p-2"))).1, None);
        let (_, caller, id, call) = f.calls.last().unwrap().clone();
        assert_eq!(call.kind, CallKind::WorkerList { page: Some("p-2".into()) });
        f.step_alone(&caller, Event::CallFinished(id, bad));
        assert_eq!(received_lists(&mut f).len(), 1);
    }
    // An empty list fails too, and a page that names itself as the next one.
    answer_next_call(&mut f, page(&[], None));
    assert_eq!(received_lists(&mut f).len(), 1);
    answer_next_call(&mut f, page(&[worker("i-2", 0)], Some("p")));
    let (_, caller, id, _) = f.calls.last().unwrap().clone();
    f.step_alone(&caller, Event::CallFinished(id, page(&[worker("i-3", 0)], Some("p"))));
    assert_eq!(received_lists(&mut f).len(), 1);
    // The next round begins at the first page again.
    assert_eq!(answer_next_call(&mut f, page(&[worker("i-9", 0)], None)).1, None);
    assert_eq!(ids(received_lists(&mut f).last().unwrap()), ["i-9"]);
}

#[test]
fn an_answer_to_an_earlier_call_is_ignored() {
    let mut f = with_worker_list(0.0);
    answer_next_call(&mut f, page(&[worker("i-1", 0)], None));
    let (_, caller, id, _) = f.calls.last().unwrap().clone();
    f.step_alone(&caller, Event::CallFinished(id, page(&[worker("i-7", 0)], None)));
    assert_eq!(ids(received_lists(&mut f).last().unwrap()), ["i-1"]);
}

#[test]
fn calls_keep_to_a_quarter_of_the_rate() {
    let mut f = with_worker_list(8.0);
    let mut times = Vec::new();
    for n in 0..6 {
        let next = (n % 3 < 2).then(|| format!("p-{n}"));
        times.push(answer_next_call(&mut f, page(&[worker(&format!("i-{n}"), 0)], next.as_deref())).0);
    }
    let shortest_gap = times.windows(2).map(|w| w[1].since(w[0])).min().unwrap();
    assert!(shortest_gap >= Span::millis(500), "{shortest_gap:?}");
}

#[test]
fn a_cold_time_that_counts_down_is_no_change_and_a_new_start_is_one() {
    let mut f = with_worker_list(0.0);
    let start = answer_next_call(&mut f, page(&[worker("i-1", 3_000)], None)).0;
    let remaining = |f: &Fleet| 3_000u64.saturating_sub(f.now.since(start).as_millis());
    for _ in 0..4 {
        let before = f.calls.len();
        f.run_until(5_000, |f| f.calls.len() > before);
        let (_, caller, id, _) = f.calls[before].clone();
        let result = page(&[worker("i-1", remaining(&f))], None);
        f.step_alone(&caller, Event::CallFinished(id, result));
    }
    assert_eq!(received_lists(&mut f).len(), 1);
    answer_next_call(&mut f, page(&[worker("i-1", 3_000)], None));
    let all = received_lists(&mut f);
    assert_eq!(all.len(), 2);
    assert!(all[1][0].remaining_warm_up > Span::millis(2_000));
    // A worker that is first seen on a later list is young; draining is a change.
    answer_next_call(&mut f, page(&[worker("i-1", 0), worker("i-2", 0)], None));
    let all = received_lists(&mut f);
    let new_worker = &all.last().unwrap()[1];
    assert!(new_worker.age < Span::secs(1), "{:?}", new_worker.age);
    answer_next_call(&mut f, page(&[Worker { draining: true, ..worker("i-1", 0) }, worker("i-2", 0)], None));
    assert!(received_lists(&mut f).last().unwrap()[0].draining);
}
