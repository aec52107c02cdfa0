//! Acceptance of edits of the table: two operators race on one row, answers are lost, retention
//! removes records, and a reader restarts and takes the table from a snapshot or a peer.

use std::collections::BTreeSet;

use crate::search::Spec;

/// The protocol, or a wrong variant of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    /// The protocol as it is implemented.
    Correct,
    /// An edit is accepted whatever version it was based on.
    IgnoresBase,
    /// A publisher whose answer is lost appends again under a new id, based on the new version.
    AppendsUnderNewId,
    /// A reader folds a duplicated record again.
    CountsDuplicates,
    /// A reader takes a peer's table even if that table is older than its own.
    TakesOlder,
    /// A reader that starts in the middle of the log doesn't wait for a snapshot.
    SkipsMissing,
}

/// A record of the log. The row's value is the edit's number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Record {
    /// An edit by a publisher, based on a version of the row.
    Edit {
        /// The edit's id; a duplicated append has the same id.
        id: u8,
        /// The value that the edit sets the row to.
        value: u8,
        /// The version of the row that the edit is based on.
        base: u8,
    },
    /// The table after all records before `upto`.
    Snapshot {
        /// Number of records that the snapshot includes.
        upto: u8,
        /// The table.
        table: Table,
    },
}

/// A table with one row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Table {
    /// Number of accepted edits.
    pub version: u8,
    /// The version at which the row was last changed; 0 while there is no row.
    pub row: u8,
    /// The row's value.
    pub value: u8,
    /// Edits that were seen, as a bit set by id.
    pub seen: u8,
}

/// A reader of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Reader {
    /// Number of records that were folded.
    pub upto: u8,
    /// The reader's table.
    pub table: Table,
    /// The highest version that the reader has served since its start.
    served: u8,
    restarted: bool,
}

/// A state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Every record ever appended.
    pub log: Vec<Record>,
    /// Number of records that retention has removed.
    pub oldest: u8,
    /// The readers.
    pub readers: [Reader; 2],
    published: BTreeSet<u8>,
    duplicated: bool,
    appended_under_new_id: bool,
    snapshots: u8,
    version_decreased: bool,
}

/// Publishers 1 and 2 set the row, publisher 3 removes it.
const PUBLISHERS: [u8; 3] = [1, 2, REMOVER];
const REMOVER: u8 = 3;
const REMOVED: u8 = 0;
const MAX_LOG: usize = 4;

/// The specification.
#[derive(Debug, Clone, Copy)]
pub struct TableSpec {
    variant: Variant,
}

impl TableSpec {
    /// Creates the specification of a variant.
    #[must_use]
    pub const fn new(variant: Variant) -> Self {
        Self { variant }
    }

    /// Folds one edit.
    #[must_use]
    pub fn fold(&self, mut table: Table, id: u8, value: u8, base: u8) -> Table {
        let duplicated = table.seen & (1 << id) != 0;
        if duplicated && self.variant != Variant::CountsDuplicates {
            return table;
        }
        table.seen |= 1 << id;
        if base == table.row || self.variant == Variant::IgnoresBase {
            table.version += 1;
            table.row = if value == REMOVED { 0 } else { table.version };
            table.value = value;
        }
        table
    }

    fn read(&self, state: &State, at: usize) -> Option<State> {
        let mut next = state.clone();
        let reader = &mut next.readers[at];
        if usize::from(reader.upto) >= state.log.len() {
            return None;
        }
        if reader.upto < state.oldest {
            // Retention has removed the next record: the reader can only go on from a snapshot that
            // is still in the log.
            let kept = &state.log[usize::from(state.oldest)..];
            let snapshot = kept.iter().find_map(|record| match record {
                Record::Snapshot { upto, table } if *upto >= state.oldest => Some((*upto, *table)),
                _ => None,
            });
            match snapshot {
                Some((upto, table)) => (reader.upto, reader.table) = (upto, table),
                None if self.variant == Variant::SkipsMissing => reader.upto = state.oldest,
                None => return None,
            }
            return Some(serve(next, at));
        }
        if let Record::Edit { id, value, base } = state.log[usize::from(reader.upto)] {
            reader.table = self.fold(reader.table, id, value, base);
        }
        reader.upto += 1;
        Some(serve(next, at))
    }

    fn publish(&self, state: &State, publisher: u8) -> Vec<State> {
        let mut steps = Vec::new();
        if state.log.len() >= MAX_LOG {
            return steps;
        }
        // A publisher bases its edit on the row that one of the readers shows.
        if !state.published.contains(&publisher) {
            for reader in &state.readers {
                let base = reader.table.row;
                if publisher == REMOVER && base == 0 {
                    continue;
                }
                let value = if publisher == REMOVER { REMOVED } else { publisher };
                let mut next = state.clone();
                next.published.insert(publisher);
                next.log.push(Record::Edit { id: publisher, value, base });
                steps.push(next);
            }
        } else {
            // The append is duplicated by a proxy, not by the publisher.
            if !state.duplicated {
                let first = state
                    .log
                    .iter()
                    .find(|record| matches!(record, Record::Edit { id, .. } if *id == publisher));
                if let Some(record) = first {
                    let mut next = state.clone();
                    next.duplicated = true;
                    next.log.push(*record);
                    steps.push(next);
                }
            }
            if self.variant == Variant::AppendsUnderNewId && !state.appended_under_new_id {
                let mut next = state.clone();
                next.appended_under_new_id = true;
                let base = state.readers[0].table.row;
                next.log.push(Record::Edit { id: publisher + REMOVER, value: publisher, base });
                steps.push(next);
            }
        }
        steps
    }
}

impl TableSpec {
    /// Folds the whole log and returns whether two edits with different ids that were based on the
    /// same version of the row were accepted one right after the other.
    fn both_accepted(&self, state: &State) -> bool {
        let mut table = Table::default();
        let mut last_accepted: Option<(u8, u8)> = None;
        for record in &state.log {
            let Record::Edit { id, value, base } = *record else { continue };
            let version = table.version;
            table = self.fold(table, id, value, base);
            if table.version == version {
                continue;
            }
            if last_accepted.is_some_and(|(other, other_base)| other != id && other_base == base) {
                return true;
            }
            last_accepted = Some((id, base));
        }
        false
    }
}

fn serve(mut state: State, at: usize) -> State {
    let reader = &mut state.readers[at];
    if reader.table.version < reader.served {
        state.version_decreased = true;
    }
    reader.served = reader.served.max(reader.table.version);
    state
}

impl Spec for TableSpec {
    type State = State;

    fn initial(&self) -> State {
        State {
            log: Vec::new(),
            oldest: 0,
            readers: [Reader::default(); 2],
            published: BTreeSet::new(),
            duplicated: false,
            appended_under_new_id: false,
            snapshots: 0,
            version_decreased: false,
        }
    }

    fn next(&self, state: &State) -> Vec<State> {
        let mut steps = Vec::new();
        for publisher in PUBLISHERS {
            steps.extend(self.publish(state, publisher));
        }
        for at in 0..2 {
            steps.extend(self.read(state, at));
            let reader = state.readers[at];
            // Any reader with a table may write a snapshot; at most two are written.
            if reader.table.version > 0 && state.snapshots < 2 && state.log.len() < MAX_LOG {
                let mut next = state.clone();
                next.snapshots += 1;
                next.log.push(Record::Snapshot { upto: reader.upto, table: reader.table });
                steps.push(next);
            }
            // The process restarts with an empty table, and its highest served version is reset.
            if !reader.restarted {
                let mut next = state.clone();
                next.readers[at] = Reader { restarted: true, ..Reader::default() };
                steps.push(next);
            }
            // While the log is down, a reader takes its peer's table.
            let peer = state.readers[1 - at];
            if peer.table.version > reader.table.version || self.variant == Variant::TakesOlder {
                let mut next = state.clone();
                next.readers[at].table = peer.table;
                next.readers[at].upto = peer.upto;
                steps.push(serve(next, at));
            }
        }
        if usize::from(state.oldest) < state.log.len() {
            let mut next = state.clone();
            next.oldest += 1;
            steps.push(next);
        }
        steps.retain(|next| next != state);
        steps
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        if state.version_decreased {
            return Some("a process went back to an older version");
        }
        let [a, b] = state.readers;
        if a.table.version == b.table.version && a.table.value != b.table.value {
            return Some("two processes have different tables of the same version");
        }
        for reader in [a, b] {
            if u32::from(reader.table.version) > state.published.len() as u32 {
                return Some("an edit was accepted more than once");
            }
        }
        if self.both_accepted(state) {
            return Some("two edits of the same version of a row were both accepted");
        }
        None
    }
}
