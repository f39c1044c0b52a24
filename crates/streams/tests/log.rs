//! What a node writes to the log of streams, and which rows it removes.

use {
    glade_streams::{LogWrite, StreamLog, VersionStreams},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

const TICK: Duration = Duration::from_millis(50);

/// The rows of the table.
#[derive(Default)]
struct Table {
    rows: BTreeMap<String, Vec<u8>>,
    writes: usize,
}

impl Table {
    fn apply(&mut self, write: &LogWrite) {
        self.writes += 1;
        for (name, value) in &write.put {
            let former = self.rows.insert(name.clone(), value.clone());
            assert!(former.is_none() || name == StreamLog::VERSIONS_ROW, "{name} again");
        }
        write.delete.iter().for_each(|name| {
            self.rows.remove(name);
        });
    }

    fn streams(&self) -> Vec<u64> {
        let decode = |row: &Vec<u8>| StreamLog::decode_row(row).expect("a row");
        let groups: Vec<VersionStreams> = self.rows.values().flat_map(decode).collect();
        let mut streams: Vec<u64> = VersionStreams::records(&groups).map(|(id, _)| id).collect();
        streams.sort_unstable();
        streams.dedup();
        streams
    }
}

/// Lets `time` pass, in which a stream begins at each tick if `begins` yields one.
fn run(
    log: &mut StreamLog,
    table: &mut Table,
    now: &mut Instant,
    time: Duration,
    mut begins: impl FnMut() -> Option<u64>,
) {
    let until = *now + time;
    while *now < until {
        *now += TICK;
        begins().into_iter().for_each(|stream| log.add(stream, 1));
        if let Some(write) = log.take_due(*now) {
            table.apply(&write);
            log.on_written(*now, write, false);
        }
    }
}

#[test]
fn streams_are_in_the_table_within_300_ms_by_four_writes_a_second() {
    let (mut now, mut table) = (Instant::now(), Table::default());
    let mut log = StreamLog::new(now, "vm-1");
    let mut ids = 1..;
    run(&mut log, &mut table, &mut now, Duration::from_secs(10), || ids.next());
    assert!(table.streams().len() >= 194, "{}", table.streams().len());
    assert!((38..=41).contains(&table.writes), "{}", table.writes);
}

#[test]
fn rows_are_removed_when_their_streams_are_over() {
    let (mut now, mut table) = (Instant::now(), Table::default());
    let mut log = StreamLog::new(now, "vm-1");
    log.add(1, 1);
    run(&mut log, &mut table, &mut now, Duration::from_secs(39), || None);
    assert_eq!(table.streams(), [1]);
    run(&mut log, &mut table, &mut now, Duration::from_secs(2), || None);
    assert!(table.rows.is_empty());
    assert_eq!(table.writes, 2);
}

#[test]
fn rows_of_a_process_that_is_gone_are_removed() {
    let (mut now, mut table) = (Instant::now(), Table::default());
    let mut gone = StreamLog::new(now, "vm-1");
    gone.add(1, 1);
    run(&mut gone, &mut table, &mut now, TICK, || None);
    let mut log = StreamLog::new(now, "vm-2");
    let names: Vec<String> = table.rows.keys().cloned().collect();
    for _ in 0..2 {
        log.add_rows(now, names.iter().map(String::as_str));
    }
    run(&mut log, &mut table, &mut now, Duration::from_secs(41), || None);
    assert!(table.rows.is_empty());
    assert_eq!(table.writes, 2);
}

#[test]
fn a_write_that_failed_is_repeated_and_may_have_taken_effect() {
    let (mut now, mut table) = (Instant::now(), Table::default());
    let mut log = StreamLog::new(now, "vm-1");
    log.add(1, 1);
    let write = log.take_due(now).expect("a write");
    assert_eq!(log.take_due(now + TICK * 20), None, "one write at a time");
    table.apply(&write);
    log.on_written(now, write, true);
    run(&mut log, &mut table, &mut now, Duration::from_secs(1), || None);
    assert_eq!((table.streams(), table.rows.len()), (vec![1], 2));
    run(&mut log, &mut table, &mut now, Duration::from_secs(41), || None);
    assert!(table.rows.is_empty());
}

#[test]
fn a_row_stays_within_the_stores_limit() {
    let now = Instant::now();
    let mut log = StreamLog::new(now, "vm-1");
    (0..20_000).for_each(|number: u64| log.add(u64::MAX - number, u32::MAX));
    let write = log.take_due(now).expect("a write");
    assert_eq!(write.put.len(), 5);
    // The store's rows have 64 KiB, in base64.
    assert!(write.put.iter().all(|(_, value)| value.len() * 4 / 3 < 65_536));
}

#[test]
fn what_isnt_a_row_is_refused() {
    for bytes in [&b"\xff\xff\xff\xff\xff"[..], &[9], b"{}"] {
        assert!(StreamLog::decode_row(bytes).is_err(), "{bytes:?}");
        assert!(StreamLog::decode_versions(bytes).is_err(), "{bytes:?}");
    }
}

#[test]
fn software_versions_stay_in_the_table_and_are_written_when_they_change() {
    let (mut now, mut table) = (Instant::now(), Table::default());
    let mut log = StreamLog::new(now, "vm-1");
    for versions in [vec![(1, 11)], vec![(1, 11), (1, 12)], vec![(1, 12)]] {
        for _ in 0..3 {
            log.set_versions(versions.iter().copied().collect());
            log.add_rows(now, table.rows.keys().map(String::as_str));
            run(&mut log, &mut table, &mut now, Duration::from_secs(41), || None);
        }
        let row = &table.rows[StreamLog::VERSIONS_ROW];
        assert_eq!(StreamLog::decode_versions(row), Ok(versions));
    }
    assert_eq!((table.writes, table.rows.len()), (3, 1));
}

#[test]
fn software_versions_whose_write_failed_are_written_again() {
    let (mut now, mut table) = (Instant::now(), Table::default());
    let mut log = StreamLog::new(now, "vm-1");
    log.set_versions([(1, 11)].into());
    let write = log.take_due(now).expect("a write");
    log.on_written(now, write, true);
    run(&mut log, &mut table, &mut now, Duration::from_secs(1), || None);
    assert_eq!((table.writes, table.rows.len()), (1, 1));
}
