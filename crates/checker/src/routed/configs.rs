//! An acknowledged configuration is in force everywhere soon after, and a daemon
//! that has shown it does not go back; invalid and losing ones never are.
use crate::prelude::*;

/// Every way a request or a run shows which configuration a daemon obeyed.
struct Sign<'a> {
    at: Time,
    who: &'a str,
    life: u64,
    /// When the request was sent that is handled so.
    sent: Time,
    what: String,
    fits: Box<dyn Fn(&Stated) -> bool + 'a>,
}

fn signs<'a>(p: &'a Post, out: &mut Vec<Sign<'a>>) {
    if let Some((at, PostWord::Refused(404))) = p.word {
        let fits = Box::new(|c: &Stated| c.matched(&p.path).is_none());
        out.push(Sign { at, who: &p.proxy, life: p.life, sent: p.sent, what: "refused as no route".into(), fits });
    }
    if let Some((at, PostWord::Accepted)) = p.word {
        let fits = Box::new(|c: &Stated| c.matched(&p.path).is_some());
        out.push(Sign { at, who: &p.proxy, life: p.life, sent: p.sent, what: "accepted".into(), fits });
    }
    for r in &p.runs {
        let fits = Box::new(|c: &Stated| c.matched(&p.path).is_some_and(|x| x.service == r.service && x.attempt == r.span));
        let what = format!("run at {} for {:?}", r.worker, r.span);
        out.push(Sign { at: r.arrived, who: &r.sender, life: r.life, sent: p.sent, what, fits });
    }
}

pub fn watch(seen: &Seen, limits: &RoutedLimits, _: Time) -> Vec<String> {
    let mut bad = Vec::new();
    for c in seen.configs.iter().filter(|c| c.acked.is_some()) {
        if !c.valid {
            bad.push(format!("revision {} is invalid and was acknowledged", c.revision));
        }
        let twin =
            seen.configs.iter().find(|x| x.acked.is_some() && x.base == c.base && x.revision < c.revision && x.text != c.text);
        bad.extend(
            twin.map(|x| format!("revisions {} and {} were both acknowledged on top of {}", x.revision, c.revision, c.base)),
        );
    }
    let mut all = Vec::new();
    // Told after the others: of each kind the first are to be seen.
    let mut gone_back = Vec::new();
    seen.posts.iter().for_each(|p| signs(p, &mut all));
    all.sort_by_key(|s| s.at);
    // The newest revision that each daemon's life has surely acted by.
    let mut shown: BTreeMap<(&str, u64), Vec<(Time, u64)>> = BTreeMap::new();
    for s in &all {
        let fit: Vec<u64> =
            seen.configs.iter().filter(|c| c.possible() && c.sent <= s.at && (s.fits)(c)).map(|c| c.revision).collect();
        // A configuration acknowledged after the request came is obeyed or not.
        let allowed = seen.in_force(s.sent, limits.in_force);
        let later = seen.configs.iter().filter(|c| c.possible() && c.sent > s.sent && c.sent <= s.at);
        let fresh = allowed.into_iter().chain(later).any(|c| (s.fits)(c));
        if !fresh && seen.touch(s.who, s.sent, s.at, limits.contact) {
            bad.push(format!("at {} ms {} {}, as only an older charter has it (fits {fit:?})", s.at.0 / 1000, s.who, s.what));
        }
        let known = shown.entry((s.who, s.life)).or_default();
        let before = known.iter().filter(|k| k.0 + limits.back_slack < s.sent).map(|k| k.1).max().unwrap_or(0);
        if let Some(most) = fit.iter().max().filter(|m| **m < before) {
            gone_back.push(format!(
                "at {} ms {} {}, by revision {most} at most, after it acted by {before}",
                s.at.0 / 1000,
                s.who,
                s.what
            ));
        }
        if let Some(least) = fit.iter().min().filter(|l| **l > known.last().map_or(0, |k| k.1)) {
            known.push((s.at, *least));
        }
    }
    bad.extend(gone_back);
    bad
}
