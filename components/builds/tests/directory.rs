//! Tests of the directory of streams.

use std::collections::BTreeMap;
use std::time::Instant;

use builds::Directory;
use builds::LIFETIME_MS;
use builds::Notice;
use builds::Origin;
use builds::asked;
use builds::holders;
use builds::stream_key;

fn notice(request: &str, build: &str) -> Notice {
    Notice {
        key: stream_key(request),
        origin: Origin {
            service: "drafts".to_owned(),
            build: build.to_owned(),
        },
    }
}

#[test]
fn entry_that_two_processes_tell_differently_is_not_used() {
    let now = Instant::now();
    let mut directory = Directory::default();
    directory.record(now, notice("a", "v1"));
    directory.record(now, notice("b", "v1"));
    directory.record(now, notice("a", "v2"));
    assert_eq!(directory.get(now, stream_key("a")), None);
    directory.record(now, notice("a", "v1"));
    assert_eq!(directory.get(now, stream_key("a")), None);
    assert!(directory.get(now, stream_key("b")).is_some());
}

#[test]
fn entry_of_an_old_stream_is_not_used() {
    let start = Instant::now();
    let mut directory = Directory::default();
    directory.record(start, notice("a", "v1"));
    directory.record(start, notice("renewed", "v1"));
    directory.record(start + LIFETIME_MS / 2, notice("renewed", "v1"));
    let later = start + LIFETIME_MS;
    assert_eq!(directory.get(later, stream_key("a")), None);
    directory.record(later, notice("b", "v1"));
    assert_eq!(directory.len(), 2);
    assert!(directory.get(later, stream_key("renewed")).is_some());
}

#[test]
fn number_of_entries_is_bounded() {
    let now = Instant::now();
    let mut directory = Directory::default();
    for number in 0..100_000 {
        directory.record(now, notice(&number.to_string(), "v1"));
    }
    assert_eq!(directory.len(), 65_536);
    assert!(directory.get(now, stream_key("99999")).is_some());
}

#[test]
fn holder_is_asked_although_some_processes_are_not_heard() {
    for count in [4_usize, 31, 300, 1_000] {
        let hosts: Vec<String> = (0..count).map(|number| format!("host-{number}")).collect();
        let mut found = 0;
        let mut held: BTreeMap<&String, usize> = BTreeMap::new();
        for number in 0..1_000 {
            let key = stream_key(&number.to_string());
            let holders = holders(key, &hosts);
            for holder in &holders {
                *held.entry(holder).or_default() += 1;
            }
            // A tenth of the processes, the holder with the highest rank among them, are not heard.
            let heard = hosts.iter().enumerate();
            let heard = heard.filter(|(at, host)| at % 10 != number % 10 && *host != holders[0]);
            let heard: Vec<&String> = heard.map(|(_, host)| host).collect();
            let asked = asked(key, heard.iter().copied());
            for holder in holders.iter().filter(|holder| heard.contains(holder)) {
                assert!(asked.contains(holder), "{count} processes, stream {number}");
            }
            found += usize::from(holders.iter().any(|holder| asked.contains(holder)));
        }
        // Two further holders are not heard for one in a hundred streams.
        assert!(found >= 970, "{count} processes: {found} of 1000");
        let most = held.values().max().copied().unwrap_or_default();
        let average = 3_000 / count;
        assert!(most <= 3 * average + 12, "{most} of {average} on average");
    }
}
