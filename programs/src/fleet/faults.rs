//! Faults of a run, as words: `kill:store-1@5+3` kills at 5 s and starts it
//! again 3 s later.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// kill -9; `+` starts it again.
    Kill,
    /// SIGTERM, so that it drains; `+` starts it again.
    Term,
    /// SIGSTOP; `+` is SIGCONT.
    Freeze,
    /// kill -9 and an emptied data folder; `+` starts it again.
    Wipe,
    /// kill -9 of every process; `+` starts all again.
    KillAll,
    /// A worker crashes; `+` brings it back, fresh.
    Crash,
    /// A worker drains by its own word; `+` takes it back.
    Drain,
    /// A worker runs and loses answers, one in five; `+` mends it.
    Lose,
    /// A worker or endpoint crawls; `+` mends it.
    Crawl,
    /// The operator empties a zone; `+` restores it.
    Zone,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub verb: Verb,
    pub who: String,
    pub at: f64,
    pub back: Option<f64>,
}

pub fn parse(text: &str) -> Result<Vec<Fault>, String> {
    let mut out = Vec::new();
    for word in text.split(',').map(str::trim).filter(|w| !w.is_empty()) {
        let bad = || format!("'{word}' is no fault; write verb:name@seconds or verb:name@seconds+seconds");
        let (what, when) = word.split_once('@').ok_or_else(bad)?;
        let (verb, who) = what.split_once(':').ok_or_else(bad)?;
        let verb = match verb {
            "kill" => Verb::Kill,
            "term" => Verb::Term,
            "freeze" => Verb::Freeze,
            "wipe" => Verb::Wipe,
            "killall" => Verb::KillAll,
            "crash" => Verb::Crash,
            "drain" => Verb::Drain,
            "lose" => Verb::Lose,
            "crawl" => Verb::Crawl,
            "zone" => Verb::Zone,
            _ => return Err(bad()),
        };
        let (at, back) = match when.split_once('+') {
            Some((a, b)) => (a, Some(b.parse().map_err(|_| bad())?)),
            None => (when, None),
        };
        let at = at.parse().map_err(|_| bad())?;
        out.push(Fault { verb, who: who.to_string(), at, back });
    }
    out.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(out)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn words_are_read_and_others_refused() {
        let all = parse("freeze:delivery-1@9+4, kill:primary@5+3").unwrap();
        assert_eq!(all[0], Fault { verb: Verb::Kill, who: "primary".into(), at: 5.0, back: Some(3.0) });
        assert_eq!(all[1].verb, Verb::Freeze);
        for bad in ["kill", "smash:x@1", "kill:x@soon", "kill:x@1+y"] {
            assert!(parse(bad).is_err(), "{bad}");
        }
    }
}
