//! The list of workers by pages.
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
        cold: Span::millis(cold),
    }
}

fn page(workers: &[Worker], next: Option<&str>) -> CallResult {
    CallResult::WorkerList(ListPage { workers: workers.to_vec(), next: next.map(str::to_string) })
}

fn listing(rate: f64) -> Fleet {
    let mut f = Fleet::listing("platform:80/instances", rate);
    f.add("delivery-1", "z1");
    f
}

/// Waits for the next call and answers it; says when it came and for which page.
fn turn(f: &mut Fleet, reply: CallResult) -> (Time, Option<String>) {
    let before = f.calls.len();
    f.until(20_000, |f| f.calls.len() > before);
    let (at, who, id, call) = f.calls[before].clone();
    let CallKind::WorkerList { page } = call.kind else { panic!("{:?}", call.kind) };
    f.step_alone(&who, Event::CallFinished(id, reply));
    (at, page)
}

/// The lists a delivery was told.
fn lists(f: &mut Fleet) -> Vec<Vec<Worker>> {
    f.run(450);
    let news = &f.fakes[&daemon("delivery-1")].news;
    news.iter().filter_map(|i| if let Update::Workers(w) = i { Some(w.clone()) } else { None }).collect()
}

fn ids(w: &[Worker]) -> Vec<&str> {
    w.iter().map(|w| w.id.as_str()).collect()
}

#[test]
fn pages_are_taken_together_and_rows_keep_what_they_say() {
    let mut f = listing(0.0);
    assert_eq!(turn(&mut f, page(&[worker("i-3", 0), worker("i-1", 2_000)], Some("p-2"))).1, None);
    assert!(lists(&mut f).is_empty());
    let asked = f.calls.last().unwrap().3.clone();
    assert_eq!((asked.addr.as_str(), asked.path.as_str()), ("platform:80", "/instances"));
    let (_, who, id, call) = f.calls.last().unwrap().clone();
    assert_eq!(call.kind, CallKind::WorkerList { page: Some("p-2".into()) });
    f.step_alone(&who, Event::CallFinished(id, page(&[worker("i-2", 0)], None)));
    let all = lists(&mut f);
    assert_eq!(ids(&all[0]), ["i-1", "i-2", "i-3"]);
    assert_eq!(all[0][0].slots, 6);
    // Told a while later, it is less cold by that while.
    f.run(1_000);
    f.add("delivery-2", "z1");
    f.run(450);
    let late =
        f.fakes[&daemon("delivery-2")].news.iter().find_map(|i| if let Update::Workers(w) = i { Some(w[0].cold) } else { None });
    assert!(late.unwrap() <= Span::millis(1_000), "{late:?}");
}

#[test]
fn a_failed_page_fails_the_round_and_the_last_list_stands() {
    let mut f = listing(0.0);
    turn(&mut f, page(&[worker("i-1", 0)], None));
    assert_eq!(lists(&mut f).len(), 1);
    let failures = [
        CallResult::Failed(SendState::NotSent),
        CallResult::Answered { code: 429, load: None, draining: false, body: Bytes::new() },
    ];
    for bad in failures {
        assert_eq!(turn(&mut f, page(&[worker("i-2", 0)], Some("p-2"))).1, None);
        let (_, who, id, call) = f.calls.last().unwrap().clone();
        assert_eq!(call.kind, CallKind::WorkerList { page: Some("p-2".into()) });
        f.step_alone(&who, Event::CallFinished(id, bad));
        assert_eq!(lists(&mut f).len(), 1);
    }
    // An empty list, a page that names itself.
    turn(&mut f, page(&[], None));
    assert_eq!(lists(&mut f).len(), 1);
    turn(&mut f, page(&[worker("i-2", 0)], Some("p")));
    let (_, who, id, _) = f.calls.last().unwrap().clone();
    f.step_alone(&who, Event::CallFinished(id, page(&[worker("i-3", 0)], Some("p"))));
    assert_eq!(lists(&mut f).len(), 1);
    // And a good one after them begins at the first page.
    assert_eq!(turn(&mut f, page(&[worker("i-9", 0)], None)).1, None);
    assert_eq!(ids(lists(&mut f).last().unwrap()), ["i-9"]);
}

#[test]
fn an_answer_to_an_earlier_call_is_not_taken() {
    let mut f = listing(0.0);
    turn(&mut f, page(&[worker("i-1", 0)], None));
    let (_, who, id, _) = f.calls.last().unwrap().clone();
    f.step_alone(&who, Event::CallFinished(id, page(&[worker("i-7", 0)], None)));
    assert_eq!(ids(lists(&mut f).last().unwrap()), ["i-1"]);
}

#[test]
fn calls_keep_to_a_quarter_of_the_rate() {
    let mut f = listing(8.0);
    let mut times = Vec::new();
    for n in 0..6 {
        let next = (n % 3 < 2).then(|| format!("p-{n}"));
        times.push(turn(&mut f, page(&[worker(&format!("i-{n}"), 0)], next.as_deref())).0);
    }
    let least = times.windows(2).map(|w| w[1].since(w[0])).min().unwrap();
    assert!(least >= Span::millis(500), "{least:?}");
}

#[test]
fn cold_that_counts_down_is_no_news_and_cold_anew_is() {
    let mut f = listing(0.0);
    let begun = turn(&mut f, page(&[worker("i-1", 3_000)], None)).0;
    let left = |f: &Fleet| 3_000u64.saturating_sub(f.now.since(begun).as_millis());
    for _ in 0..4 {
        let before = f.calls.len();
        f.until(5_000, |f| f.calls.len() > before);
        let (_, who, id, _) = f.calls[before].clone();
        let reply = page(&[worker("i-1", left(&f))], None);
        f.step_alone(&who, Event::CallFinished(id, reply));
    }
    assert_eq!(lists(&mut f).len(), 1);
    turn(&mut f, page(&[worker("i-1", 3_000)], None));
    let all = lists(&mut f);
    assert_eq!(all.len(), 2);
    assert!(all[1][0].cold > Span::millis(2_000));
    // One that came after the first list is young; draining is news.
    turn(&mut f, page(&[worker("i-1", 0), worker("i-2", 0)], None));
    let all = lists(&mut f);
    let young = &all.last().unwrap()[1];
    assert!(young.age < Span::secs(1), "{:?}", young.age);
    turn(&mut f, page(&[Worker { draining: true, ..worker("i-1", 0) }, worker("i-2", 0)], None));
    assert!(lists(&mut f).last().unwrap()[0].draining);
}
