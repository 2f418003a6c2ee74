//! Reads and writes the record of the versions at which streams can have begun.

use crate::amount::Time;
use crate::event::{Command, LogEntry, Outbox, StoreCall, StoreKey, StoreResult, Versioned};
use crate::node::Node;
use crate::pending_calls::Purpose;
use crate::stored_record::RecordCall;
use crate::version_record::{self, KnownVersions, ServiceVersions};

/// The subject by which members are ranked for the record.
const SUBJECT: &[u8] = b"versions";
/// The number of members that read and write the record; more than one, since some may be cut off
/// from the store. The others ask a member that knows the versions.
const MAX_WRITERS: usize = 3;

impl Node {
    /// Handles what this process knows of the versions from the list of upstreams.
    pub(crate) fn handle_known_versions(&self, now: Time, known: KnownVersions, out: &mut Outbox) {
        if !self.is_version_writer() {
            return;
        }
        let must_read = {
            let mut record = self.state.version_record();
            record.set_known(known);
            record.must_read()
        };
        if must_read {
            self.state.version_record().stored.mark_unknown();
        }
        self.start_version_call(now, out);
    }

    /// Handles the store's result for a call about the record. `written` is the content that was
    /// to be written.
    pub(crate) fn handle_version_result(
        &self,
        written: Option<ServiceVersions>,
        result: StoreResult,
        out: &mut Outbox,
    ) {
        match (result, written) {
            (StoreResult::Written(revision), Some(content)) => {
                let mut record = self.state.version_record();
                record.stored.set_revision(revision);
                record.set_content(content);
            }
            (StoreResult::Value(found) | StoreResult::Conflict(found), _) => {
                self.apply_version_record(&found, out);
            }
            (_, written) => {
                self.state.version_record().stored.record_failure(written.is_some());
            }
        }
    }

    fn apply_version_record(&self, found: &Versioned, out: &mut Outbox) {
        let mut record = self.state.version_record();
        record.stored.set_revision(found.revision);
        match version_record::decode(found.value.as_deref()) {
            Ok(content) => {
                record.set_content(content.clone());
                out.push(Command::ApplyVersions(record.requested_at, content));
            }
            // Until the list has been followed for long enough, streams are resumed by records.
            Err(error) => {
                out.push(Command::Log(LogEntry::BadValue(StoreKey::Versions, error.to_string())));
            }
        }
    }

    fn is_version_writer(&self) -> bool {
        let members = self.state.membership();
        let ranked = members.view.ranked(SUBJECT, None);
        ranked.iter().take(MAX_WRITERS).any(|member| member.incarnation == members.id())
    }

    fn start_version_call(&self, now: Time, out: &mut Outbox) {
        let mut members = self.state.membership();
        let mut record = self.state.version_record();
        let may_read = record.must_read();
        let Some(call) = record.stored.next_call(now, may_read) else {
            return;
        };
        let (purpose, call) = match call {
            RecordCall::Read => {
                record.requested_at = now;
                (Purpose::VersionsRead, StoreCall::Get(StoreKey::Versions))
            }
            RecordCall::Write(expected_revision) => {
                let content = record.next_content();
                let value = version_record::encode(&content);
                let key = StoreKey::Versions;
                let call = StoreCall::CompareAndSwap { key, expected_revision, value };
                (Purpose::VersionsWrite(content), call)
            }
        };
        let ticket = members.store_calls.begin(purpose);
        out.push(Command::CallStore(ticket, call));
    }
}
